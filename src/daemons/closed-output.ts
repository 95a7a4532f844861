import process from 'node:process';

/**
 * Lets a command go on when the reader of its output has closed it, as `head`
 * does: what it prints from then on is dropped, and its work and exit status stay
 * the same. A command that writes records must not be ended halfway by the
 * reader of its messages. Other errors of the output are thrown.
 */
export function ignoreClosedOutput(): void {
	for (const output of [process.stdout, process.stderr]) {
		output.on('error', (error: NodeJS.ErrnoException) => {
			if (error.code !== 'EPIPE') {
				throw error;
			}
		});
	}
}
