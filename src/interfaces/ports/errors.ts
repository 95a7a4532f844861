import VError from 'verror';

/** The table refused or did not get the call: it had no effect. */
export class TableUnavailable extends VError {
	override name = 'TableUnavailable';
}

/** The answer to a commit was lost: it may have taken effect. */
export class TableUncertain extends VError {
	override name = 'TableUncertain';
}

/** An endpoint could not be reached or answered with an error. */
export class EndpointUnavailable extends VError {
	override name = 'EndpointUnavailable';
}
