/**
 * Sends one request to upstreams.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type UpstreamAnnouncement } from "../../fleet/index.js";
import { type AttemptFailure } from "../../forwarding/index.js";
import { reportBrokenAnswer } from "../../observability/index.js";
import { callUpstream, type UpstreamCall } from "../upstreamCall.js";
import { type AnswerReceiver } from "./answerReceiver.js";
import { Attempt, expectedAnswerBytes } from "./attempt.js";
import { describeSpeed } from "./describeSpeed.js";
import { type Hedging } from "./hedging.js";
import { currentHolder } from "./keyProblem.js";
import { outgoingHeaders } from "./outgoingHeaders.js";
import { remainingMilliseconds, type RequestParts } from "./requestParts.js";
import { describeLimit, usePermit } from "./requestPermits.js";
import { findSendObstacle } from "./sendObstacle.js";
import { type WaitTime } from "./waitTime.js";

/** Connecting within a region takes a few milliseconds, or a second if the first packet is lost. */
const CONNECT_TIMEOUT_MILLISECONDS = 350;

/** A connection that stood later than this after its request was sent is logged. */
const LATE_CONNECTION_MILLISECONDS = 100;

/** Error code of a connection to an address at which nobody listens. */
const CONNECTION_REFUSED = "ECONNREFUSED";

/** Options of {@linkcode AttemptSender}. */
export interface AttemptSenderOptions {
    readonly parts: RequestParts;
    readonly time: WaitTime;
    readonly hedging: () => Hedging;
    readonly receiver: AnswerReceiver;
    readonly isEnded: () => boolean;
    /** Runs a step of the request so that an exception in it ends this request only. */
    readonly guard: (step: () => void) => void;
    readonly onFailed: (attempt: Attempt, failure: AttemptFailure, detail: string) => void;
    /** The caller has left before the request could be sent. */
    readonly onCallerLeft: () => void;
    /** The deadline has passed before the request could be sent. */
    readonly onOutOfTime: () => void;
}

/** Starts attempts, and passes on what comes of them while they run. */
export class AttemptSender {
    readonly #options: AttemptSenderOptions;
    readonly #parts: RequestParts;

    constructor(options: AttemptSenderOptions) {
        this.#options = options;
        this.#parts = options.parts;
    }

    /** Sends the request; `passedOver` is an upstream that had no room within its rate limit. */
    send(upstream: UpstreamAnnouncement, passedOver: string | undefined): void {
        const { answerMemory, attempts, context, facts, permitWait, progress, request: { route } } = this.#parts;
        this.#options.time.end("sent");
        usePermit(context, { upstream, request: permitWait.request, passedOver });
        permitWait.cancel();
        const attempt = new Attempt({ context, facts, upstream, answerMemory, number: attempts.sentCount + 1 });
        attempts.add(attempt);
        answerMemory.expect(attempts.count * expectedAnswerBytes(route));
        progress.recordSent(upstream);
        this.#logSent(attempt, passedOver);
        attempt.call = this.#call(attempt);
        this.#options.hedging().watch();
    }

    #call(attempt: Attempt): UpstreamCall {
        const { context, request: { body, holdBody, message, requestId, target } } = this.#parts;
        const { receiver } = this.#options;
        const { address, service } = attempt.upstream;
        return callUpstream({
            acts: context.acts,
            agent: context.agentFor(service),
            address,
            method: message.method ?? "GET",
            path: target.pathAndQuery,
            headers: () => this.#headersFor(attempt.upstream),
            body,
            holdBody,
            connectTimeoutMilliseconds: CONNECT_TIMEOUT_MILLISECONDS,
            onConnected: () => context.acts.runOrEnqueue(() => this.#ifRunning(attempt, () => this.#release(attempt))),
            onHead: head => this.#ifRunning(attempt, () => receiver.handleHead(attempt, head)),
            onData: chunk => this.#ifRunning(attempt, () => receiver.handleData(attempt, chunk)),
            onEnd: () => this.#ifRunning(attempt, () => receiver.handleEnd(attempt)),
            onBroken: fault => reportBrokenAnswer(context, { reader: "request", address, fault, request: requestId }),
            onFailure: (failure, detail, code) =>
                this.#ifRunning(attempt, () => {
                    attempt.wasConnectionRefused = code === CONNECTION_REFUSED;
                    this.#options.onFailed(attempt, failure, detail);
                }),
        });
    }

    /** Sends the request on its connection, unless something has come between. */
    #release(attempt: Attempt): void {
        const { hedging, onCallerLeft, onFailed, onOutOfTime } = this.#options;
        match(findSendObstacle(this.#parts, attempt))
            .with(undefined, () => {
                this.#logLateConnection(attempt);
                attempt.call?.send();
                hedging().handleConnected(attempt);
            })
            .with("caller-left", () => onCallerLeft())
            .with("out-of-time", () => onOutOfTime())
            .with("upstream-gone", "permit-lapsed", "key-removed", obstacle => onFailed(attempt, "withdrawn", obstacle))
            .exhaustive();
    }

    #ifRunning(attempt: Attempt, step: () => void): void {
        const { guard, isEnded } = this.#options;
        if (!isEnded() && this.#parts.attempts.has(attempt)) {
            guard(step);
        }
    }

    #logSent(attempt: Attempt, passedOver: string | undefined): void {
        const { context, facts, logger, progress, request } = this.#parts;
        const { backlogTokens, load, number, upstream } = attempt;
        logger.info("request sent", {
            route: request.route.name,
            upstream: upstream.id,
            upstreamVersion: upstream.softwareVersion,
            resumesAfter: progress.lastEventId,
            resumes: facts.resumedRequest,
            attempt: number,
            ...describeLimit(context, passedOver),
            ...describeLimit(context, upstream.id),
            load,
            unreadTokens: backlogTokens,
            ...describeSpeed(context.speeds.describe(upstream.id, attempt.sentAtMilliseconds)),
            boundTokens: context.backlog.limitTokens,
            configurationVersion: request.configurationVersion,
            remainingMilliseconds: Math.round(remainingMilliseconds(this.#parts)),
            viewAgeMilliseconds: Math.round(context.viewAgeMilliseconds()),
            upstreamSilentMilliseconds: logger.upstreamSilentMilliseconds(attempt),
        });
    }

    #logLateConnection({ number, quietMilliseconds, upstream }: Attempt): void {
        if (quietMilliseconds > LATE_CONNECTION_MILLISECONDS) {
            this.#parts.logger.info("request connected late", {
                upstream: upstream.id,
                attempt: number,
                connectMilliseconds: Math.round(quietMilliseconds),
            });
        }
    }

    #headersFor(upstream: UpstreamAnnouncement): string[] {
        const { context, facts, progress, request } = this.#parts;
        return outgoingHeaders(request, context.headers, {
            upstream,
            namesModel: facts.model !== undefined,
            remainingMilliseconds: remainingMilliseconds(this.#parts),
            lastEventId: progress.lastEventId,
            hasAccounts: request.account !== undefined || context.routeTable()?.accounts !== undefined,
            account: currentHolder(this.#parts)?.name,
        });
    }
}
