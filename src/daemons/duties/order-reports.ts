import type {Disposable} from '../../base/index.js';
import type {ServerOrders} from '../../services/duties/index.js';
import type {GatewayMetrics} from '../gateway/gateway-metrics.js';
import type {Log} from '../log.js';

/** Logs and counts each change of the number of servers that is decided, until disposed of. */
export function reportServerOrders(
	orders: ServerOrders,
	log: Log,
	metrics: Pick<GatewayMetrics, 'serversOrdered'>,
): Disposable {
	return orders.onDidChange(
		({service, dataCentre, desired, before, cause, load}) => {
			log.info('servers_ordered', {
				service,
				data_centre: dataCentre,
				desired,
				before: before ?? '',
				cause,
				load: load === undefined ? '' : Math.round(load * 10) / 10,
			});
			metrics.serversOrdered(service, dataCentre, cause);
		},
	);
}
