/**
 * Compares the placement plan with simple plans, and with the same plan without a horizon, at several loads.
 *
 * @module
 */
import { planBestMove } from "../src/placement/index.js";
import {
    createSimulatedSite,
    planLeastRequested,
    planNoMoves,
    simulateDays,
    type SimulationOptions,
    SITES,
} from "./placement/index.js";

const DAYS = 40;

const PLANS: Readonly<Record<string, SimulationOptions["plan"]>> = {
    "no moves": planNoMoves,
    "least asked": planLeastRequested,
    "without a horizon": input => planBestMove(input, Number.POSITIVE_INFINITY),
    "the plan": input => planBestMove(input),
};

const LOADS = [0.7, 1, 1.3, 1.6];

for (const [siteName, options] of Object.entries(SITES)) {
    process.stdout.write(
        `\n${siteName}: attainment ± standard error, worst kind, refusals, loads from the store a day\n`,
    );
    for (const load of LOADS) {
        const site = createSimulatedSite({ ...options, load: options.load * load });
        for (const [name, plan] of Object.entries(PLANS)) {
            const { attainment, error, loadsFromStore, refusals, worstKind } = simulateDays({
                site,
                seeds: DAYS,
                plan,
            });
            process.stdout.write(
                `load ${load.toFixed(1)}  ${name.padEnd(18)} ${attainment.toFixed(3)} ± ${error.toFixed(3)}`
                    + `  ${worstKind.toFixed(3)}  ${refusals.toFixed(0).padStart(5)}  ${loadsFromStore.toFixed(1)}\n`,
            );
        }
    }
}
