/**
 * How old a host's knowledge is: when it last read what had arrived.
 *
 * @module
 */
export { READ_INTERVAL_MILLISECONDS, ReadTimes } from "./readTimes.js";
