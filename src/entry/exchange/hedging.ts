/**
 * Watches a request's answer, and sends the request to a second upstream where it has stalled.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type UpstreamAnnouncement } from "../../fleet/index.js";
import { mayRunAgain } from "../../forwarding/index.js";
import {
    type Alternative,
    decideOverlap,
    decideStall,
    EXCLUSIVE_OVERLAP_MILLISECONDS,
    STALL_RECHECK_MILLISECONDS,
} from "../../hedging/index.js";
import { type Route } from "../../routes/index.js";
import { type ForwardingContext } from "../forwardingContext.js";
import { type Attempt, BUSY_LOAD_SHARE } from "./attempt.js";
import { type RunningAttempts } from "./runningAttempts.js";
import { type UpstreamSelection } from "./upstreamSelection.js";

/** Callers abandon a stream after two seconds without an event; an earlier limit leaves time for another upstream. */
const STREAM_STALL_MILLISECONDS = 1_200;

/** A stream has not stalled before this many times the time in which its prompt is probably read. */
const STALL_READING_TIMES = 1.5;

/** An idempotent request has stalled after this many times its target latency without an answer. */
const STALL_TARGETS = 3;

/** Time after which a hedge's upstream is probed, so that the answer is one to a question asked since it was sent. */
const OVERLAP_PROBE_MILLISECONDS = 100;

/** Why a hedge is cancelled: the attempt before it goes on, or the hedge's upstream is silent too. */
export type HedgeCancellation = "stall-ended" | "hedge-silent";

/** Options of {@linkcode Hedging}. */
export interface HedgingOptions {
    readonly context: ForwardingContext;
    readonly route: Route;
    readonly attempts: RunningAttempts;
    readonly selection: UpstreamSelection;
    /** True where only one upstream should work on the request, since each would generate its tokens. */
    readonly isExclusive: boolean;
    /** Runs a step of the request so that an exception in it ends this request only. */
    readonly guard: (step: () => void) => void;
    /** False while the caller does not read, so that nothing is received. */
    readonly isReceiving: () => boolean;
    /** Returns whether a further attempt is allowed beside those that run. */
    readonly mayHedge: () => boolean;
    /** Draws on the retry budget; false where it has no room. */
    readonly payForHedge: () => boolean;
    readonly send: (upstream: UpstreamAnnouncement) => void;
    /** An attempt is given up since its upstream is silent while another one answers. */
    readonly onGivenUp: (attempt: Attempt) => void;
    readonly onHedgeCancelled: (hedge: Attempt, reason: HedgeCancellation) => void;
}

/** Sends a request whose answer has stalled to a second upstream, and decides which of the two attempts goes on. */
export class Hedging {
    readonly #options: HedgingOptions;
    #stallTimer: NodeJS.Timeout | undefined;
    #overlapTimer: NodeJS.Timeout | undefined;

    constructor(options: HedgingOptions) {
        this.#options = options;
    }

    /** Watches the request's answer; only where the request may run again. */
    watch(): void {
        const { kind, resumable } = this.#options.route;
        if (mayRunAgain(kind, resumable)) {
            this.#scheduleCheck(this.#limitMilliseconds());
        }
    }

    /** Looks at the request again soon, since a hedge of it has ended. */
    recheck(): void {
        this.#scheduleCheck(STALL_RECHECK_MILLISECONDS);
    }

    /** Limits how long an attempt runs beside an earlier one, from the moment at which it can be sent. */
    handleConnected(attempt: Attempt): void {
        const { attempts, context, isExclusive } = this.#options;
        if (!isExclusive || attempts.count < 2 || attempt !== attempts.last) {
            return;
        }
        const sinceMilliseconds = context.readClock();
        this.#scheduleOverlap(OVERLAP_PROBE_MILLISECONDS, () => {
            this.#probeHedge(attempt, sinceMilliseconds);
            const remainingMilliseconds = EXCLUSIVE_OVERLAP_MILLISECONDS - OVERLAP_PROBE_MILLISECONDS;
            this.#scheduleOverlap(remainingMilliseconds, () => this.#endOverlap(attempt, sinceMilliseconds));
        });
    }

    /** Ends the attempts other than the one whose answer goes on. */
    keepOnly(attempt: Attempt): void {
        for (const other of this.#options.attempts.list()) {
            if (other.number < attempt.number) {
                this.#options.onGivenUp(other);
            }
            else if (other !== attempt) {
                this.#options.onHedgeCancelled(other, "stall-ended");
            }
        }
    }

    close(): void {
        clearTimeout(this.#stallTimer);
        clearTimeout(this.#overlapTimer);
    }

    #limitMilliseconds(): number {
        const { attempts, route: { kind, targetLatencyMilliseconds } } = this.#options;
        if (kind !== "event-stream") {
            return targetLatencyMilliseconds * STALL_TARGETS;
        }
        const readingMilliseconds = attempts.last?.readingMilliseconds ?? 0;
        return Math.max(STREAM_STALL_MILLISECONDS, readingMilliseconds * STALL_READING_TIMES);
    }

    /** Checks the request after some time, once what has arrived meanwhile was read. */
    #scheduleCheck(milliseconds: number): void {
        clearTimeout(this.#stallTimer);
        const { context: { acts }, guard } = this.#options;
        this.#stallTimer = setTimeout(() => acts.enqueue(() => guard(() => this.#check())), milliseconds);
    }

    #check(): void {
        const { attempts, isReceiving, selection } = this.#options;
        const { last } = attempts;
        if (last === undefined || !isReceiving()) {
            return;
        }
        const decision = decideStall({
            quietMilliseconds: attempts.quietMilliseconds,
            limitMilliseconds: this.#limitMilliseconds(),
            isBusy: selection.loadShare(last.upstream.id) >= BUSY_LOAD_SHARE,
            alternative: () => this.#alternative(),
        });
        match(decision)
            .with({ type: "wait" }, ({ milliseconds }) => this.#scheduleCheck(milliseconds))
            .with({ type: "probe" }, ({ milliseconds }) => {
                this.#probeOthers();
                this.#scheduleCheck(milliseconds);
            })
            .with({ type: "hedge" }, () => this.#hedge())
            .exhaustive();
    }

    #alternative(): Alternative {
        const { attempts, isExclusive, mayHedge, selection } = this.#options;
        if ((isExclusive && attempts.count > 1) || !mayHedge()) {
            return "none";
        }
        if (this.#chooseAlive() !== undefined) {
            return "alive";
        }
        return selection.chooseOther(this.#running()) === undefined ? "none" : "unproven";
    }

    #hedge(): void {
        const upstream = this.#chooseAlive();
        if (upstream !== undefined && this.#options.payForHedge()) {
            this.#options.send(upstream);
        }
        else {
            this.recheck();
        }
    }

    /** Returns another upstream that accepts the request now and is known to answer, or cannot be probed. */
    #chooseAlive(): UpstreamAnnouncement | undefined {
        const { context: { liveness, probes, readClock }, selection } = this.#options;
        return selection.chooseOther(this.#running(), upstream =>
            this.#mayTake(upstream)
            && (liveness.isReachable(upstream.id, readClock()) || !probes.canProbe(upstream.service)));
    }

    /** A request that both upstreams may run loses nothing at one whose other requests stand still. */
    #mayTake({ id }: UpstreamAnnouncement): boolean {
        const { context: { liveness, readClock }, isExclusive } = this.#options;
        return !isExclusive || !liveness.isStalled(id, readClock());
    }

    #probeOthers(): void {
        const { context: { probes }, selection } = this.#options;
        const other = selection.chooseOther(
            this.#running(),
            upstream => this.#mayTake(upstream) && !probes.wasUnanswered(upstream.id),
        );
        if (other !== undefined && probes.mayProbeMore(other.service)) {
            probes.probe(other);
        }
    }

    /** Upstreams that have the request now. */
    #running(): ReadonlySet<string> {
        return new Set(this.#options.attempts.list().map(({ upstream }) => upstream.id));
    }

    #scheduleOverlap(milliseconds: number, step: () => void): void {
        clearTimeout(this.#overlapTimer);
        const { context: { acts }, guard } = this.#options;
        this.#overlapTimer = setTimeout(() => acts.enqueue(() => guard(step)), milliseconds);
    }

    #probeHedge({ upstream }: Attempt, sinceMilliseconds: number): void {
        const { liveness, probes } = this.#options.context;
        if (!liveness.hasRespondedSince(upstream.id, sinceMilliseconds)) {
            probes.probe(upstream);
        }
    }

    /** Ends one of the attempts at an exclusive request: a silent one only in favour of one whose upstream answers. */
    #endOverlap(hedge: Attempt, sinceMilliseconds: number): void {
        const { attempts, context: { liveness, probes, readClock }, onHedgeCancelled } = this.#options;
        const stalled = attempts.list().find(attempt => attempt !== hedge);
        if (stalled === undefined || !attempts.has(hedge)) {
            return;
        }
        const { id, service } = hedge.upstream;
        const hasResponded = liveness.hasRespondedSince(id, sinceMilliseconds) || !probes.canProbe(service);
        const decision = decideOverlap({
            hasStallEnded: stalled.quietMilliseconds < readClock() - sinceMilliseconds,
            isHedgeAnswering: hasResponded && !liveness.isStalled(id, readClock()),
        });
        match(decision)
            .with("cancel-stalled", () => this.keepOnly(hedge))
            .with("cancel-hedge", () => onHedgeCancelled(hedge, "hedge-silent"))
            .exhaustive();
    }
}
