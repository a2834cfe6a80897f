/**
 * Plays a soak: a deployment, its callers, and the troubles of its plan.
 *
 * @module
 */
import { mkdirSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { createSeededRandom } from "../src/decision/index.js";
import { SoakCaller } from "./callers.js";
import { SoakDeployment } from "./deployment.js";
import { judge } from "./judge.js";
import { type SoakPlan } from "./plan.js";
import { type SoakRecord, type Violation } from "./records.js";
import { SoakLog } from "./soakLog.js";
import { bringTrouble } from "./troubles.js";

const BYTES_PER_MEGABYTE = 1_000_000;

/** Outcome of a soak. */
export interface SoakOutcome {
    readonly plan: SoakPlan;
    readonly requests: number;
    readonly answered: number;
    readonly troubles: number;
    readonly peakMegabytes: number;
    readonly violations: readonly Violation[];
    /** Folder of settings, logs, record and schedule, which is kept where a promise was broken. */
    readonly folder: string;
}

async function playTroubles(deployment: SoakDeployment, log: SoakLog, plan: SoakPlan): Promise<void> {
    const beganAt = log.now();
    await Promise.all(plan.troubles.map(async trouble => {
        await delay(trouble.atMilliseconds);
        await bringTrouble(deployment, log, trouble);
    }));
    await delay(Math.max(0, plan.milliseconds - (log.now() - beganAt)));
}

async function play(plan: SoakPlan, targetFolder: string, folder: string): Promise<readonly SoakRecord[]> {
    const log = new SoakLog();
    const deployment = await SoakDeployment.start(plan, targetFolder, folder, log);
    try {
        await Promise.all(deployment.hosts.map(host => host.awaitReady()));
        const callers = Array.from(
            { length: plan.callers },
            (_, index) => new SoakCaller(log, deployment.hosts, createSeededRandom(plan.seed + index)),
        );
        await playTroubles(deployment, log, plan);
        await Promise.all(callers.map(caller => caller.close()));
    }
    finally {
        log.close();
        await deployment.close();
    }
    return log.records;
}

function createOutcome(plan: SoakPlan, folder: string, records: readonly SoakRecord[]): SoakOutcome {
    const requests = records.filter(record => record.type === "request");
    const peakBytes = records.map(record => record.type === "life" ? record.peakBytes : 0);
    return {
        plan,
        folder,
        requests: requests.length,
        answered: requests.filter(({ ending, status }) => ending === "answered" && status === 200).length,
        troubles: plan.troubles.length,
        peakMegabytes: Math.round(Math.max(...peakBytes) / BYTES_PER_MEGABYTE),
        violations: judge(records, plan.memoryMegabytes * BYTES_PER_MEGABYTE),
    };
}

/**
 * Plays a soak and judges it.
 *
 * @param plan What is played.
 * @param targetFolder Folder of the launcher of the bundled program.
 * @param outputFolder Where a failing soak leaves a folder of its own.
 *
 * @example
 * ```ts
 * const { violations } = await playSoak(planSoak(7, 30_000), "target", "target/soak");
 * ```
 */
export async function playSoak(plan: SoakPlan, targetFolder: string, outputFolder: string): Promise<SoakOutcome> {
    const folder = join(outputFolder, `seed-${plan.seed}`);
    rmSync(folder, { recursive: true, force: true });
    mkdirSync(folder, { recursive: true });
    const records = await play(plan, targetFolder, folder);
    const outcome = createOutcome(plan, folder, records);
    if (outcome.violations.length === 0) {
        rmSync(folder, { recursive: true });
        return outcome;
    }
    writeFileSync(join(folder, "schedule.json"), `${JSON.stringify(plan, undefined, 4)}\n`);
    writeFileSync(join(folder, "record.jsonl"), records.map(record => `${JSON.stringify(record)}\n`).join(""));
    writeFileSync(join(folder, "violations.json"), `${JSON.stringify(outcome.violations, undefined, 4)}\n`);
    return outcome;
}

/** Renders the line of a soak, and a line for each broken promise. */
export function renderOutcome(
    { answered, folder, peakMegabytes, plan, requests, troubles, violations }: SoakOutcome,
): string {
    const verdict = violations.length === 0 ? "passed" : `FAILED, see ${folder}`;
    const seconds = (milliseconds: number): string => (milliseconds / 1_000).toFixed(3);
    return [
        `seed ${plan.seed}: ${plan.hosts} hosts, ${requests} requests, ${answered} answered, ${troubles} troubles, `
        + `peak ${peakMegabytes} of ${plan.memoryMegabytes} MB, ${verdict}`,
        ...violations.map(({ at, message, rule }) => `    ${rule} at ${seconds(at)} s: ${message}`),
    ].join("\n");
}
