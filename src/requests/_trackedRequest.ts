/**
 * A request between its arrival and its one final answer.
 *
 * @module
 */
import { type Model } from "../generated/deployment.js";
import { type AttemptFailure, type ModelRequest } from "./messages.js";

/** What a request waits for. */
export type RequestPhase =
    | "queued"
    | "running"
    /** Its connection was lost, and it is not known yet whether the engine crashed. */
    | "awaiting-verdict"
    /** It is a suspect and has to be run by itself. */
    | "awaiting-trial";

/** One request with what happened to it. */
export interface TrackedRequest {
    readonly request: ModelRequest;
    /** The model as the revision at arrival describes it. */
    readonly model: Model;
    readonly submittedAtMilliseconds: number;
    /** Urgent: target of the first token. Patient: by when it has to be answered. */
    readonly deadlineMilliseconds: number;
    /** From when a patient request no longer gives way to urgent ones. */
    readonly agedAtMilliseconds: number;
    phase: RequestPhase;
    /** Attempts made; the number of the current one while running. */
    attempts: number;
    /** Of those, attempts that an engine may have worked on and did not crash at. */
    taken: number;
    engine: string | undefined;
    incarnation: string | undefined;
    dispatchedAtMilliseconds: number;
    firstTokenAtMilliseconds: number | undefined;
    deliveredTokens: number;
    /** True once an engine may have worked on it. */
    mayHaveRun: boolean;
    notBeforeMilliseconds: number;
    /** Since when it waits for a verdict. */
    waitsSinceMilliseconds: number;
    /** True while a retry is due that the budget did not allow yet. */
    needsBudget: boolean;
    /** This host's claim to run it as a suspect. */
    trialIdentifier: string | undefined;
    /** Engine of the last failed attempt, avoided while others can take the request. */
    failedEngine: string | undefined;
    retryReason: AttemptFailure | "engine-crashed" | undefined;
}

const AGED_AFTER_SHARE = 0.5;

/**
 * Starts tracking a request.
 *
 * @param request The caller's request.
 * @param model Its model under the revision in force.
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
        agedAtMilliseconds: nowMilliseconds + allowedMilliseconds * AGED_AFTER_SHARE,
        phase: "queued",
        attempts: 0,
        taken: 0,
        engine: undefined,
        incarnation: undefined,
        dispatchedAtMilliseconds: 0,
        firstTokenAtMilliseconds: undefined,
        deliveredTokens: 0,
        mayHaveRun: false,
        notBeforeMilliseconds: nowMilliseconds,
        waitsSinceMilliseconds: 0,
        needsBudget: false,
        trialIdentifier: undefined,
        failedEngine: undefined,
        retryReason: undefined,
    };
}
