/**
 * Engines pause beside changes of each part of the configuration: no request may be lost.
 *
 * @module
 */
import { testChangesBesidePauses } from "./support/changeRuns.js";
import { PART_CHANGES } from "./support/changeSite.js";

/** Longer than the time from the requests to the change. */
const STALL_MILLISECONDS = 800;

testChangesBesidePauses(PART_CHANGES);

testChangesBesidePauses(
    PART_CHANGES.slice(0, 1).map(change => ({
        ...change,
        name: `${change.name}, where the process stalls as the requests begin`,
        stallMilliseconds: STALL_MILLISECONDS,
    })),
);
