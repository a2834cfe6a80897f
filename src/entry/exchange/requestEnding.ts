/**
 * How one request ends: answered, refused, failed, with its answer aborted, or without its caller.
 *
 * @module
 */
import { retryDelayMilliseconds } from "../../forwarding/index.js";
import { OTHER_HOST_MILLISECONDS } from "./expectedCapacity.js";
import { type FailureReason } from "./failureReason.js";
import { type Hedging } from "./hedging.js";
import { leaveCall } from "./leftCall.js";
import { longestRemainingMilliseconds, remainingMilliseconds, type RequestParts } from "./requestParts.js";
import { describeLimit } from "./requestPermits.js";
import { STATUS_BAD_GATEWAY, STATUS_GATEWAY_TIMEOUT, STATUS_UNAUTHORIZED, STATUS_UNAVAILABLE } from "./statuses.js";

const MILLISECONDS_PER_SECOND = 1_000;

/** Names the form in which a key is accepted; each answer with status 401 has to. */
export const AUTHENTICATE_HEADERS: Readonly<Record<string, string>> = { "www-authenticate": "Bearer" };

/** Options of {@linkcode RequestEnding}. */
export interface RequestEndingOptions {
    readonly parts: RequestParts;
    readonly hedging: () => Hedging;
    /** Ends the request's timers and its wait; called once, before its end is logged. */
    readonly close: (outcome: string) => void;
    /** The request has ended; called once. */
    readonly onEnded: () => void;
}

/** Ends a request once, with its answer, its metrics and its log line. */
export class RequestEnding {
    readonly #options: RequestEndingOptions;
    readonly #parts: RequestParts;
    #ended = false;
    /** True where the request ended because its caller left. */
    #hasCallerLeft = false;

    constructor(options: RequestEndingOptions) {
        this.#options = options;
        this.#parts = options.parts;
    }

    get ended(): boolean {
        return this.#ended;
    }

    /** Answers that the request has not run and never will, and after what time the caller should retry. */
    refuse(reason: FailureReason, expectedMilliseconds?: number): void {
        if (this.#parts.answer.begun) {
            this.abortAnswer(reason);
            return;
        }
        if (this.#parts.counts.mayHaveRun > 0) {
            this.fail(STATUS_BAD_GATEWAY, reason);
            return;
        }
        this.#parts.place.recordRefused(reason);
        const retryAfterMilliseconds = this.#retryAfterMilliseconds(reason, expectedMilliseconds);
        this.#parts.context.metrics.count("refusals", { reason });
        this.#logRefusal(reason, expectedMilliseconds, retryAfterMilliseconds);
        const retryHeaders: Record<string, string> = retryAfterMilliseconds === undefined
            ? {}
            : { "retry-after": (retryAfterMilliseconds / MILLISECONDS_PER_SECOND).toFixed(2) };
        const body = JSON.stringify({ reason, ran: "not-run", retryAfterMilliseconds });
        this.#giveBackTokens();
        if (reason === "unknown-key") {
            this.#countAccountRefusal(reason);
            this.#parts.answer.sendHostAnswer(STATUS_UNAUTHORIZED, AUTHENTICATE_HEADERS, body);
        }
        else {
            this.#parts.answer.sendHostAnswer(STATUS_UNAVAILABLE, retryHeaders, body);
        }
        this.end(`refused: ${reason}`);
    }

    /**
     * Refuses a request that must not be sent any more. Where it may only have lain unread for too long, its caller is
     * told to come back.
     */
    refuseOutOfTime(): void {
        const mayBeInTime = remainingMilliseconds(this.#parts) <= 0 && longestRemainingMilliseconds(this.#parts) > 0;
        if (mayBeInTime) {
            this.refuse("read-late", OTHER_HOST_MILLISECONDS);
        }
        else {
            this.refuse("out-of-time");
        }
    }

    /** Answers that the request failed and may have run. */
    fail(status: number, reason: FailureReason): void {
        this.#parts.context.metrics.count("failures", { reason });
        this.#parts.answer.sendHostAnswer(status, {}, JSON.stringify({ reason, ran: "may-have-run" }));
        this.end(`failed: ${reason}`);
    }

    /** Aborts an answer that has begun, so that the caller sees it as incomplete. */
    abortAnswer(reason: FailureReason): void {
        this.#parts.context.metrics.count("failures", { reason });
        this.#parts.answer.abort();
        this.end(`broken off: ${reason}`);
    }

    /** Ends a request after an exception: fails it, or aborts its answer where one has begun. */
    failBroken(): void {
        if (this.#ended) {
            return;
        }
        this.#releaseUpstreams();
        if (this.#parts.answer.begun) {
            this.abortAnswer("broken-invariant");
        }
        else {
            this.fail(STATUS_BAD_GATEWAY, "broken-invariant");
        }
    }

    /** Ends a request whose deadline has passed, or whose host is stopping. */
    handleDeadline(): void {
        if (this.#ended) {
            return;
        }
        const { answer, attempts, counts } = this.#parts;
        const mayHaveRun = attempts.mayHaveSent || counts.mayHaveRun > 0;
        this.#releaseUpstreams();
        if (answer.begun) {
            this.abortAnswer("out-of-time");
        }
        else if (mayHaveRun) {
            this.fail(STATUS_GATEWAY_TIMEOUT, "out-of-time");
        }
        else {
            this.refuseOutOfTime();
        }
    }

    /**
     * Ends the request after its caller left. A non-idempotent one that may have reached the upstream is left to finish
     * there, since nobody gains from a partial execution; its body is held until the upstream has taken it.
     */
    handleCallerClosed(): void {
        if (this.#ended) {
            if (!this.#hasCallerLeft) {
                this.#logUndelivered();
            }
            return;
        }
        this.#hasCallerLeft = true;
        const { answer, attempts, counts } = this.#parts;
        if (!answer.begun && !attempts.mayHaveSent && counts.mayHaveRun === 0) {
            this.#giveBackTokens();
        }
        if (this.#parts.request.route.kind === "non-idempotent") {
            this.#leaveToFinish();
        }
        this.#releaseUpstreams();
        this.end("caller left");
    }

    /** Closes the connection of an answer that has ended, and that its caller has not taken whole. */
    cutOffDelivery(): void {
        this.#logUndelivered();
        this.#parts.answer.abort();
    }

    end(outcome: string): void {
        if (this.#ended) {
            return;
        }
        this.#ended = true;
        this.#options.close(outcome);
        const { context, request: { arrivedAtMilliseconds, route } } = this.#parts;
        const tookMilliseconds = context.readClock() - arrivedAtMilliseconds;
        context.metrics.count("endings", { kind: route.kind, outcome });
        context.metrics.observe("answer_seconds", tookMilliseconds, { kind: route.kind });
        this.#countAccountRequest(outcome);
        this.#logEnd(outcome, tookMilliseconds);
        this.#options.onEnded();
    }

    /** Gives the account back the tokens of a request that no upstream has run. */
    #giveBackTokens(): void {
        const { context, request: { account } } = this.#parts;
        if (account !== undefined) {
            context.quotas.giveBack(account.account.name, account.tokens, context.readClock());
            const labels = { account: account.account.name, outcome: "returned" };
            context.metrics.add("account_tokens", labels, account.tokens);
        }
    }

    /** Counts the end of an account's request, by the first words of its outcome. */
    #countAccountRequest(outcome: string): void {
        const { context, request: { account } } = this.#parts;
        if (account !== undefined) {
            const [ending = outcome] = outcome.split(":");
            context.metrics.count("account_requests", { account: account.account.name, outcome: ending });
        }
    }

    #countAccountRefusal(reason: FailureReason): void {
        const { context, request: { account } } = this.#parts;
        if (account !== undefined) {
            context.metrics.count("account_refusals", { account: account.account.name, reason });
        }
    }

    #retryAfterMilliseconds(
        reason: FailureReason,
        expectedMilliseconds: number | undefined,
    ): number | undefined {
        if (expectedMilliseconds === undefined) {
            return undefined;
        }
        const remainingMilliseconds = longestRemainingMilliseconds(this.#parts);
        const spread = this.#parts.context.random();
        return this.#parts.place.retryDelay(reason, { expectedMilliseconds, remainingMilliseconds, spread })
            ?? retryDelayMilliseconds(expectedMilliseconds, remainingMilliseconds, spread);
    }

    #logRefusal(
        reason: FailureReason,
        expectedMilliseconds: number | undefined,
        retryAfterMilliseconds: number | undefined,
    ): void {
        const { context, facts, logger, permitWait, place, request, selection } = this.#parts;
        logger.info("request refused", {
            reason,
            longestUnreadMilliseconds: Math.round(request.longestUnreadMilliseconds),
            resumes: facts.resumedRequest,
            expectedMilliseconds: expectedMilliseconds === undefined ? undefined : Math.round(expectedMilliseconds),
            retryAfterMilliseconds,
            ...place.describe(),
            ...describeLimit(context, permitWait.upstream),
            ...selection.describe(),
        });
    }

    #logEnd(outcome: string, tookMilliseconds: number): void {
        const { answer, attempts, logger, request: { arrivedAtMilliseconds, route } } = this.#parts;
        const { events, firstByteAtMilliseconds, longestGapMilliseconds, passedOnFor } = answer;
        const { pauseCount, pausedMilliseconds } = answer;
        logger.info("request ended", {
            route: route.name,
            outcome,
            upstream: attempts.lastUpstream,
            attempts: attempts.sentCount,
            tookMilliseconds: Math.round(tookMilliseconds),
            firstByteMilliseconds: firstByteAtMilliseconds === undefined
                ? undefined
                : Math.round(firstByteAtMilliseconds - arrivedAtMilliseconds),
            ...events === 0 ? {} : { events, longestGapMilliseconds },
            passedOnFor,
            ...pauseCount === 0 ? {} : { pauseCount, pausedMilliseconds },
        });
    }

    /** Logs an answer that was handed to the caller's connection and does not leave it whole. */
    #logUndelivered(): void {
        const { answer, context, logger, request: { response } } = this.#parts;
        if (!response.writableFinished && !answer.aborted) {
            logger.info("answer not delivered", {
                unsentBytes: answer.unsentBytes,
                isLeaving: context.isLeaving(),
                isOutOfTime: remainingMilliseconds(this.#parts) <= 0,
            });
            context.metrics.count("failures", { reason: "not-delivered" });
        }
    }

    /** Cancels the attempts that run, and releases what they use. */
    #releaseUpstreams(): void {
        this.#options.hedging().close();
        this.#parts.attempts.cancelAll();
    }

    /** Releases attempts that upstreams may have received, without cancelling them. */
    #leaveToFinish(): void {
        const { attempts } = this.#parts;
        for (const attempt of attempts.list()) {
            if (attempt.call?.mayHaveSent === true) {
                attempt.resume();
                leaveCall(this.#parts, attempt);
            }
        }
    }
}
