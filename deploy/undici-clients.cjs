/** Exports only the parts of undici that the gateway uses, because the package's index loads all of them. */
const Dispatcher = require('../node_modules/undici/lib/dispatcher/dispatcher.js');

Dispatcher.prototype.request = require('../node_modules/undici/lib/api/api-request.js');

module.exports = {
	Client: require('../node_modules/undici/lib/dispatcher/client.js'),
	Pool: require('../node_modules/undici/lib/dispatcher/pool.js'),
};
