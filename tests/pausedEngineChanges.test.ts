/**
 * Engines pause beside changes of each part of the configuration: no request may be lost.
 *
 * @module
 */
import { besideStall, testChangesBesidePauses } from "./support/changeRuns.js";
import { PART_CHANGES } from "./support/changeSite.js";

testChangesBesidePauses(PART_CHANGES);

testChangesBesidePauses(PART_CHANGES.slice(0, 1).map(besideStall));
