/**
 * The network between zones: what stands in one zone is reached from another one through a proxy. The
 * store is seen from each zone with the addresses at which that zone reaches the others.
 */
import {FaultyProxy} from '../../out/standins/line/faulty-proxy.js';

/** Proxies between zones, which drop all bytes while a zone is cut off. */
export class ZoneNetwork {
	constructor(zones) {
		this._zones = zones;
		this._cutZones = new Set();
		this._proxies = [];
		this._nodeProxies = [];
		/** By address and calling zone: the address of the proxy. */
		this._routes = new Map();
	}

	/** Adds an address in a zone, with a proxy for each other zone. */
	async add(address, zone) {
		const [host, port] = address.split(':');
		for (const from of this._zones.filter(other => other !== zone)) {
			const proxy = new FaultyProxy({host, port: Number(port)});
			this._proxies.push({proxy, zones: [from, zone]});
			this._routes.set(`${from} ${address}`, `127.0.0.1:${await proxy.listen('127.0.0.1')}`);
		}
	}

	/** Adds the platform's address for a zone; returns that of the proxy in front of it. */
	async addPlatform(zone, address) {
		const [host, port] = address.split(':');
		const proxy = new FaultyProxy({host, port: Number(port)});
		this._proxies.push({proxy, zones: [zone]});
		return `127.0.0.1:${await proxy.listen('127.0.0.1')}`;
	}

	isCutFromPlatform(zone) {
		return this._cutZones.has(zone);
	}

	/**
	 * Adds a node's address for its peers. The links between zones open only with `openNodeLinks`, so that nodes
	 * learn the addresses of the others from the store, which shows each zone its own.
	 */
	async addNode(address, zone) {
		const first = this._proxies.length;
		await this.add(address, zone);
		for (const {proxy} of this._proxies.slice(first)) {
			proxy.mode = 'silent';
			this._nodeProxies.push(proxy);
		}
	}

	openNodeLinks() {
		for (const proxy of this._nodeProxies) {
			proxy.mode = 'pass';
			proxy.reset();
		}
	}

	/** Cuts a zone off from all others and from the platform: bytes and new connections get no answer. */
	cut(zone) {
		this._cutZones.add(zone);
		for (const {proxy, zones} of this._proxies) {
			if (zones.includes(zone)) {
				proxy.injectFault('silent');
			}
		}
	}

	/** The store with the addresses that a zone uses. */
	storeSeenFrom(zone, store) {
		const seen = answer => answer.map(found => ({...found, rows: found.rows.map(row => this._seenRow(zone, row))}));
		return {
			get era() {
				return store.era;
			},
			read: async (table, partition) => seen(await store.read(table, partition)),
			follow: async (table, after, waitMs) => seen(await store.follow(table, after, waitMs)),
			write: async write => store.write(write),
		};
	}

	dispose() {
		for (const {proxy} of this._proxies) {
			proxy.dispose();
		}
	}

	_seenRow(zone, row) {
		if (row.value === undefined || (row.table !== 'servers' && row.table !== 'nodes')) {
			return row;
		}

		const value = JSON.parse(row.value);
		const address = row.table === 'servers' ? value.addr : `${value.host}:${value.port}`;
		const routed = this._routes.get(`${zone} ${address}`);
		if (!routed) {
			return row;
		}

		const [host, port] = routed.split(':');
		const changed = row.table === 'servers' ? {addr: routed} : {host, port: Number(port)};
		return {...row, value: JSON.stringify({...value, ...changed})};
	}
}
