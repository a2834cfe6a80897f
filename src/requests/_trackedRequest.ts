/**
 * State of a request from its arrival to its final answer.
 *
 * @module
 */
import { type Model } from "../generated/deployment.js";
import { type AttemptFailure, type ModelRequest } from "./messages.js";

/** Phase of a request that has no final answer yet. */
export type RequestPhase =
    | "queued"
    | "running"
    /** Its connection was lost, and it is not known yet whether the engine crashed. */
    | "awaiting-verdict"
    /** It is suspected of crashing engines and has to run alone on an engine. */
    | "awaiting-trial";

/** One request and its progress. */
export interface TrackedRequest {
    readonly request: ModelRequest;
    /** The model in the deployment revision in force at arrival. */
    readonly model: Model;
    readonly submittedAtMilliseconds: number;
    /** Urgent: when the first token is due. Patient: when the answer is due. */
    readonly deadlineMilliseconds: number;
    /** When a patient request gets urgent priority. */
    readonly agedAtMilliseconds: number;
    phase: RequestPhase;
    /** Number of attempts made; while running, also the number of the current one. */
    attempts: number;
    /** Attempts that an engine may have started, except those during which it crashed. */
    startedAttempts: number;
    engine: string | undefined;
    incarnation: string | undefined;
    dispatchedAtMilliseconds: number;
    firstTokenAtMilliseconds: number | undefined;
    deliveredTokens: number;
    /** True once an engine may have executed part of it. */
    mayHaveRun: boolean;
    notBeforeMilliseconds: number;
    /** When it began to wait for the crash determination of its engine. */
    awaitingVerdictSinceMilliseconds: number;
    /** True while a retry waits for the retry budget. */
    awaitsRetryBudget: boolean;
    /** Identifier of this host's claim on an engine to run it as a suspect. */
    trialIdentifier: string | undefined;
    /** Engine of the last failed attempt, avoided while another can accept the request. */
    lastFailedEngine: string | undefined;
    retryReason: AttemptFailure | "engine-crashed" | undefined;
}

const AGED_AFTER_DEADLINE_SHARE = 0.5;

/**
 * Starts tracking a request.
 *
 * @param request The caller's request.
 * @param model Its model in the deployment revision in force.
 * @param nowMilliseconds Time of arrival.
 * @returns The request, queued.
 */
export function trackRequest(request: ModelRequest, model: Model, nowMilliseconds: number): TrackedRequest {
    const allowedMilliseconds = request.class === "urgent" ? model.firstTokenMilliseconds : model.patientMilliseconds;
    return {
        request,
        model,
        submittedAtMilliseconds: nowMilliseconds,
        deadlineMilliseconds: nowMilliseconds + allowedMilliseconds,
        agedAtMilliseconds: nowMilliseconds + allowedMilliseconds * AGED_AFTER_DEADLINE_SHARE,
        phase: "queued",
        attempts: 0,
        startedAttempts: 0,
        engine: undefined,
        incarnation: undefined,
        dispatchedAtMilliseconds: 0,
        firstTokenAtMilliseconds: undefined,
        deliveredTokens: 0,
        mayHaveRun: false,
        notBeforeMilliseconds: nowMilliseconds,
        awaitingVerdictSinceMilliseconds: 0,
        awaitsRetryBudget: false,
        trialIdentifier: undefined,
        lastFailedEngine: undefined,
        retryReason: undefined,
    };
}
