/**
 * How old a host's knowledge is: when it last read what had arrived, and whether acts may rest on its view.
 *
 * @module
 */
export { READ_INTERVAL_MILLISECONDS, ReadTimes } from "./readTimes.js";
export { ViewAge } from "./viewAge.js";
export { ViewConfirmations, type ViewState } from "./viewConfirmations.js";
