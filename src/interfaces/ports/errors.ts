import VError from 'verror';

/** The table rejected or did not receive the call, which had no effect. */
export class TableUnavailable extends VError {
	override name = 'TableUnavailable';
}

/** The response to a commit was lost: the commit may have taken effect. */
export class TableUncertain extends VError {
	override name = 'TableUncertain';
}

/** An endpoint could not be reached or answered with an error. */
export class EndpointUnavailable extends VError {
	override name = 'EndpointUnavailable';
}
