/**
 * Starts a node from the bundle and the code cache that the build wrote beside it.
 *
 * The command that runs this must not set an option of V8: with any, Node.js discards the
 * compiled form of its own modules, which costs a start 45 ms of processor time (0.175 s
 * without an option and 0.22 s with one for a program that loads HTTP/2, means of 36 starts
 * each).
 */
'use strict';
const {loadBundle} = require('./load-bundle.cjs');

const {exported, isCacheUsed} = loadBundle();
exported.main({isCacheUsed});
