/**
 * What a run over several hosts and engines is given, and what it records.
 *
 * @module
 */
import { type Decision, type RandomSource } from "../../src/decision/index.js";
import { type RefusalReason } from "../../src/generated/callers.js";
import { type Deployment } from "../../src/generated/deployment.js";
import { type ModelRequest, type RequestsEffect, type RequestsMessage } from "../../src/requests/index.js";
import { type PromptPart } from "./engineModel.js";
import { type HostsRun } from "./hostsRun.js";

/** A request as its caller sends it. */
export interface Arrival {
    readonly atMilliseconds: number;
    readonly host: string;
    readonly request: ModelRequest;
    readonly prompt: readonly PromptPart[];
    readonly outputTokens: number;
    readonly crashesAfterMilliseconds?: number;
    /** The caller goes after this time. */
    readonly cancelAfterMilliseconds?: number;
}

/** What became of a request. */
export interface RequestRecord {
    readonly arrival: Arrival;
    /** Final answers: whole answers and refusals. */
    answers: number;
    refusal:
        | { readonly reason: RefusalReason; readonly ran: string; readonly retryAfterMilliseconds?: number; }
        | undefined;
    finishedAtMilliseconds: number | undefined;
    refusedAtMilliseconds: number | undefined;
    firstTokenAtMilliseconds: number | undefined;
    tokens: number;
    attempts: number;
    /** True once an engine took an attempt. */
    taken: boolean;
}

/** Delays and losses between hosts and engines. */
export interface Network {
    readonly reportIntervalMilliseconds: number;
    /** Longest time until a poll's report is at the other hosts. */
    readonly digestDelayMilliseconds: number;
    readonly suspectsDelayMilliseconds: number;
    /** Share of engine-crashed messages that never come, so that a new incarnation tells the crash. */
    readonly crashNoticeLoss: number;
    readonly cacheEventLoss: number;
    readonly engineRestartMilliseconds: number;
}

/** Options of a run. */
export interface HostsRunOptions {
    readonly seed: number;
    readonly hosts: readonly string[];
    readonly deployment: Deployment;
    /** Models that each engine holds. */
    readonly placement: ReadonlyMap<string, readonly string[]>;
    readonly cacheTokens: number;
    readonly network: Network;
    readonly arrivals: readonly Arrival[];
    readonly createDecision: (host: string, random: RandomSource) => Decision<RequestsMessage, RequestsEffect>;
    readonly endMilliseconds: number;
    /** Schedules faults before the run begins. */
    readonly prepare?: (run: HostsRun) => void;
    /** Sees every effect before it is carried out. */
    readonly onEffect?: (host: string, effect: RequestsEffect, nowMilliseconds: number) => void;
}
