/**
 * Options and records of a run over several hosts and engines.
 *
 * @module
 */
import { type Decision, type RandomSource } from "../../src/decision/index.js";
import { type RefusalReason } from "../../src/generated/callers.js";
import { type Deployment } from "../../src/generated/deployment.js";
import { type ModelRequest, type RequestsEffect, type RequestsMessage } from "../../src/requests/index.js";
import { type PromptPart } from "./engineModel.js";
import { type HostsRun } from "./hostsRun.js";

/** A request, with when, where and how its caller sends it. */
export interface Arrival {
    readonly atMilliseconds: number;
    readonly host: string;
    readonly request: ModelRequest;
    readonly prompt: readonly PromptPart[];
    readonly outputTokens: number;
    readonly crashesAfterMilliseconds?: number;
    /** The caller cancels the request after this time. */
    readonly cancelAfterMilliseconds?: number;
}

/** Outcome of a request. */
export interface RequestRecord {
    readonly arrival: Arrival;
    /** Number of final answers: complete answers and refusals. */
    answers: number;
    refusal:
        | { readonly reason: RefusalReason; readonly ran: string; readonly retryAfterMilliseconds?: number; }
        | undefined;
    finishedAtMilliseconds: number | undefined;
    refusedAtMilliseconds: number | undefined;
    firstTokenAtMilliseconds: number | undefined;
    tokens: number;
    attempts: number;
    /** True once an engine has accepted an attempt. */
    taken: boolean;
}

/** Delays and losses between hosts and engines. */
export interface Network {
    readonly reportIntervalMilliseconds: number;
    /** Maximum time until a polled report reaches the other hosts. */
    readonly digestDelayMilliseconds: number;
    readonly suspectsDelayMilliseconds: number;
    /** Share of engine-crashed messages that are lost; hosts then detect the crash by the engine's new incarnation. */
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
    /** Called with every effect before it is performed. */
    readonly onEffect?: (host: string, effect: RequestsEffect, nowMilliseconds: number) => void;
}
