/**
 * Makes schemas check values without compiling code for it. It is imported before any schema
 * is made. Settings are read once a start, and compiling for that took 20 ms of processor time
 * at each (profiles of `--check`).
 */
import {z} from 'zod';

z.config({jitless: true});
