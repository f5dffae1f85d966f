/**
 * A node as a process of its own, from the compiled modules.
 */
import {main} from '../../../platform/main.js';
import {divertConnections} from './diverted-connections.js';

divertConnections();
await main({isCacheUsed: false});
