/**
 * Loaded into a node process before its program: counts the messages that it writes to other nodes,
 * and writes the count to a file named after the process when it receives SIGUSR2. The number of write
 * calls cannot stand for it, since V8's tasks wake the process by writes too.
 */
'use strict';
const {writeFileSync} = require('node:fs');
const path = require('node:path');
const process = require('node:process');
const {Duplex} = require('node:stream');

/** Environment variable that names the folder of the files. */
const folderVariable = 'QUETZALSTREAM_COUNT_FOLDER';

const {write} = Duplex.prototype;
let messages = 0;

// Each gRPC message is one write on an HTTP/2 stream; the classes of both sides of a stream have no other names in common.
Duplex.prototype.write = function (...given) {
	if (this.constructor.name.endsWith('Http2Stream')) {
		messages += 1;
	}

	return Reflect.apply(write, this, given);
};

process.on('SIGUSR2', () => {
	writeFileSync(path.join(process.env[folderVariable], String(process.pid)), String(messages));
});
