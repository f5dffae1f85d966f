/**
 * Runs one endpoint: `node main.js --settings FILE [--fresh]`.
 */
import process from 'node:process';
import {runEndpoints} from './run-endpoints.js';

await runEndpoints(process.argv.slice(2), 1);
