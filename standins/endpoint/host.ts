/**
 * Runs the endpoints of several settings files in one process:
 * `node host.js --settings FILE [--settings FILE ...] [--fresh]`.
 */
import process from 'node:process';
import {runEndpoints} from './run-endpoints.js';

await runEndpoints(process.argv.slice(2));
