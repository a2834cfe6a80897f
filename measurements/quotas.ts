/**
 * Plays simulated fleets with quotas on many seeds: `npx tsx measurements/quotas.ts HOSTS SEEDS [FIRST_SEED] [PROFILE]`.
 *
 * Prints for each profile and account the fullest 8 s window relative to its bound, the windows over it, and the least
 * part of what an exact token bucket accepts.
 *
 * @module
 */
import { type Outcome, playProfile, type Profile, PROFILES } from "../tests/support/quotaScenarios.js";

const [hosts = "73", seeds = "100", firstSeed = "1", only] = process.argv.slice(2);
const hostCount = Number(hosts);
const outcomes = new Map<string, (Outcome & { readonly seed: number; })[]>();
const profiles = PROFILES.filter(profile => only === undefined || profile === only);
for (let seed = Number(firstSeed); seed < Number(firstSeed) + Number(seeds); seed += 1) {
    const profile = profiles[seed % profiles.length] as Profile;
    for (const outcome of playProfile(profile, seed, hostCount)) {
        const key = `${profile.padEnd(10)} ${outcome.account.padEnd(5)}`;
        outcomes.set(key, [...outcomes.get(key) ?? [], { ...outcome, seed }]);
    }
}
for (const [key, of] of [...outcomes].sort()) {
    const worst = of.toSorted((left, right) => right.worst - left.worst)[0];
    const over = of.filter(outcome => outcome.worst > 1).length;
    const accepted = of.flatMap(outcome => outcome.accepted ?? []).sort((left, right) => left - right);
    const mean = accepted.reduce((sum, value) => sum + value, 0) / accepted.length;
    const low = accepted.filter(value => value < 0.95).length;
    console.log(
        `${hostCount} hosts ${key} ${of.length} runs: worst ${
            worst?.worst.toFixed(3)
        } (seed ${worst?.seed}, ${worst?.worstAtMilliseconds} ms), `
            + `${over} over; accepted ${accepted[0]?.toFixed(3) ?? "-"} least, ${
                mean.toFixed(3)
            } mean, ${low} below 0.95`,
    );
}
