/**
 * Summarizes the results of a run, and their spread over seeds.
 *
 * @module
 */
import { type Deployment } from "../../src/generated/deployment.js";
import { type HostsRun } from "./hostsRun.js";
import { type RequestRecord } from "./runTypes.js";

/** Results of one run. */
export interface RunFigures {
    /** Share of requests answered within their targets. */
    readonly attainment: number;
    readonly urgentAttainment: number;
    readonly patientAttainment: number;
    readonly refused: number;
    /** Mean number of attempts per request. */
    readonly attempts: number;
    /** Share of prompt tokens that engines found in their prefix caches. */
    readonly cachedShare: number;
}

/** A mean with its standard deviation. */
export interface Spread {
    readonly mean: number;
    readonly deviation: number;
}

/** Computes the results of one run. */
export function summarize(run: HostsRun, deployment: Deployment): RunFigures {
    const all = [...run.records.values()];
    const urgent = all.filter(record => record.arrival.request.class === "urgent");
    const patient = all.filter(record => record.arrival.request.class === "patient");
    const share = (group: readonly RequestRecord[]): number =>
        group.filter(record => isWithinTarget(record, deployment)).length / Math.max(1, group.length);
    return {
        attainment: share(all),
        urgentAttainment: share(urgent),
        patientAttainment: share(patient),
        refused: all.filter(record => record.refusal !== undefined).length / Math.max(1, all.length),
        cachedShare: run.cachedPromptShare(),
        attempts: all.reduce((sum, record) => sum + record.attempts, 0) / Math.max(1, all.length),
    };
}

/** Returns whether a request was answered completely and within the targets of its model. */
export function isWithinTarget(record: RequestRecord, deployment: Deployment): boolean {
    const { arrival, finishedAtMilliseconds, firstTokenAtMilliseconds } = record;
    const model = deployment.models.find(each => each.name === arrival.request.model);
    if (finishedAtMilliseconds === undefined || firstTokenAtMilliseconds === undefined || model === undefined) {
        return false;
    }
    if (arrival.request.class === "patient") {
        return finishedAtMilliseconds - arrival.atMilliseconds <= model.patientMilliseconds;
    }
    const betweenTokens = (finishedAtMilliseconds - firstTokenAtMilliseconds) / Math.max(1, arrival.outputTokens - 1);
    return firstTokenAtMilliseconds - arrival.atMilliseconds <= model.firstTokenMilliseconds
        && betweenTokens <= model.betweenTokensMilliseconds;
}

/** Computes mean and standard deviation. */
export function spreadOf(values: readonly number[]): Spread {
    const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
    const variance = values.reduce((sum, value) => sum + (value - mean) ** 2, 0) / Math.max(1, values.length - 1);
    return { mean, deviation: Math.sqrt(variance) };
}

/** Formats mean and standard deviation for a table. */
export function formatSpread(values: readonly number[], scale: number, digits: number): string {
    const { deviation, mean } = spreadOf(values);
    return `${(mean * scale).toFixed(digits)} ± ${(deviation * scale).toFixed(digits)}`;
}
