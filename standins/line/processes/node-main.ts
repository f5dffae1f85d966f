/**
 * A node as a process of its own, from the compiled modules.
 */
import {main} from '../../../platform/main.js';

await main({isCacheUsed: false});
