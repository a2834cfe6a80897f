/**
 * Engines pause beside changes in series and hosts that stop: no request may be lost.
 *
 * @module
 */
import { testChangesBesidePauses } from "./support/changeRuns.js";
import { SERIES_CHANGES } from "./support/changeSite.js";

testChangesBesidePauses(SERIES_CHANGES);
