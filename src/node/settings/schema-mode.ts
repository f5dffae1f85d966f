/**
 * Makes schemas check values without compiling code for it; must be imported before any schema
 * is created. Settings are read once per start, so compiling is not worth its cost of
 * 20 ms of processor time at each start.
 */
import {z} from 'zod';

z.config({jitless: true});
