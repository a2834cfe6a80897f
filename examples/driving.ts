import { createRequestsDecision, createSeededRandom, deploymentSchema, type RequestsEffect } from "../src/index.js";

const STEP_MILLISECONDS = 50;
const LAST_MILLISECONDS = 2000;
const CRASH_AT_MILLISECONDS = 500;

const deployment = deploymentSchema.parse({
    deployment: "mill",
    zones: [{ name: "west-1", region: "west" }],
    weightStore: { loadsPerSecond: 1, concurrentLoads: 1 },
    pools: [{
        name: "pool",
        checksFencing: true,
        memoryMegabytes: 80,
        slots: 4,
        engines: [
            { name: "engine-1", url: "http://127.0.0.1:9001", zone: "west-1" },
            { name: "engine-2", url: "http://127.0.0.1:9002", zone: "west-1" },
        ],
    }],
    models: [{ name: "quotes", version: "1", megabytes: 40, pools: ["pool"] }],
});

/** Runs one host's requests decision under a clock of our own, and crashes the engine of its first attempt. */
export function driveRequests(seed: number): string[] {
    const requests = createRequestsDecision({ host: "entry-1", random: createSeededRandom(seed) });
    const history: string[] = [];
    let crashed: string | undefined;

    function deliver(effects: readonly RequestsEffect[], now: number): void {
        for (const effect of effects) {
            history.push(`${now} ${effect.type}${effect.type === "dispatch" ? ` to ${effect.engine}` : ""}`);
            if (effect.type === "dispatch" && crashed !== undefined) {
                const { identifier, attempt } = effect;
                deliver(requests.handle({ type: "attempt-first-token", identifier, attempt }, now), now);
                deliver(requests.handle({ type: "attempt-finished", identifier, attempt }, now), now);
            }
        }
    }

    function observe(engine: string, now: number): void {
        const digest = { engine, incarnation: "a", running: 0, waiting: 0, leaving: false, observedMillisecondsAgo: 0 };
        deliver(requests.handle({ type: "engine-observed", digest }, now), now);
    }

    requests.handle({ type: "deployment", deployment, revision: 1 }, 0);
    for (const engine of ["engine-1", "engine-2"]) {
        const models = [{ name: "quotes", version: "1" }];
        const digest = { engine, incarnation: "a", recordRevision: 1, models, adapters: [] };
        requests.handle({ type: "residency", digest }, 0);
        observe(engine, 0);
    }
    const request = {
        identifier: "r-1",
        model: "quotes",
        class: "urgent" as const,
        fingerprint: "f-1",
        prefixKeys: [],
    };
    deliver(requests.handle({ type: "submit", request }, 0), 0);

    for (let now = STEP_MILLISECONDS; now <= LAST_MILLISECONDS; now += STEP_MILLISECONDS) {
        if (now === CRASH_AT_MILLISECONDS) {
            crashed = history[0]?.split(" to ")[1] ?? "engine-1";
            const failed = { identifier: "r-1", attempt: 1, failure: "connection-lost" as const, deliveredTokens: 0 };
            deliver(requests.handle({ type: "engine-crashed", engine: crashed, incarnation: "a" }, now), now);
            deliver(requests.handle({ type: "attempt-failed", ...failed }, now), now);
        }
        ["engine-1", "engine-2"].filter(engine => engine !== crashed).forEach(engine => observe(engine, now));
        deliver(requests.handle({ type: "tick" }, now), now);
    }
    return history;
}
