import {once} from 'node:events';
import {connect, createServer} from 'node:net';
import process from 'node:process';
import {
	after, before, describe, it,
} from 'node:test';
import {expect} from 'earl';
import {listenOn} from '../../../src/node/listen-on.js';
import {diversionsVariable, divertConnections} from './diverted-connections.js';

describe('divertConnections', () => {
	const proxy = createServer(socket => {
		socket.end('proxy');
	});
	const direct = createServer(socket => {
		socket.end('direct');
	});
	let directPort = 0;

	before(async () => {
		const proxyPort = await listenOn(proxy, {host: '127.0.0.1', port: 0});
		directPort = await listenOn(direct, {host: '127.0.0.1', port: 0});
		process.env[diversionsVariable] = JSON.stringify({[`127.0.31.2:${directPort}`]: proxyPort});
		divertConnections();
	});

	after(() => {
		proxy.close();
		direct.close();
	});

	const answerOf = async (host: string): Promise<string> => {
		const socket = connect({host, port: directPort});
		let answer = '';
		socket.on('data', chunk => {
			answer += chunk.toString();
		});
		await once(socket, 'close');
		return answer;
	};

	it('connects to the proxy of an address that has one', async () => {
		expect(await answerOf('127.0.31.2')).toEqual('proxy');
	});

	it('connects to other addresses directly', async () => {
		expect(await answerOf('127.0.0.1')).toEqual('direct');
	});
});
