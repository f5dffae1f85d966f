/**
 * Starts a node from the joined file and the code cache that the build wrote beside it.
 *
 * No option of V8 stands in the command that runs this: with any, Node.js drops the compiled
 * form of its own modules, which costs a start 45 ms of processor time (0.175 s and 0.22 s for
 * a program that loads HTTP/2, means of 36 starts each).
 */
'use strict';
const {loadBundle} = require('./load-bundle.cjs');

const {exported, isCacheUsed} = loadBundle();
exported.main({isCacheUsed});
