/**
 * Watches a request's answer, and sends the request to a second upstream where it has stalled.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type UpstreamAnnouncement } from "../../fleet/index.js";
import { mayRunAgain } from "../../forwarding/index.js";
import { type Alternative, decideOverlap, decideStall, EXCLUSIVE_OVERLAP_MILLISECONDS } from "../../hedging/index.js";
import { type Route } from "../../routes/index.js";
import { type ForwardingContext } from "../forwardingContext.js";
import { type Attempt, BUSY_LOAD_SHARE } from "./attempt.js";
import { type RunningAttempts } from "./runningAttempts.js";
import { type UpstreamSelection } from "./upstreamSelection.js";

/** Callers abandon a stream after two seconds without an event; an earlier limit leaves time for another upstream. */
const STREAM_STALL_MILLISECONDS = 1_200;

/** An idempotent request has stalled after this many times its target latency without an answer. */
const STALL_TARGETS = 3;

/** Time after which a request is looked at again whose hedge has failed. */
const RECHECK_MILLISECONDS = 60;

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
        this.#scheduleCheck(RECHECK_MILLISECONDS);
    }

    /** Limits how long an attempt runs beside an earlier one, from the moment at which it can be sent. */
    handleConnected(attempt: Attempt): void {
        const { attempts, context, isExclusive } = this.#options;
        if (!isExclusive || attempts.count < 2 || attempt !== attempts.last) {
            return;
        }
        context.probes.probe(attempt.upstream);
        clearTimeout(this.#overlapTimer);
        this.#overlapTimer = setTimeout(
            () => setImmediate(() => this.#options.guard(() => this.#endOverlap(attempt))),
            EXCLUSIVE_OVERLAP_MILLISECONDS,
        );
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
        const { kind, targetLatencyMilliseconds } = this.#options.route;
        return kind === "event-stream" ? STREAM_STALL_MILLISECONDS : targetLatencyMilliseconds * STALL_TARGETS;
    }

    /** Checks the request after some time, once what has arrived meanwhile was read. */
    #scheduleCheck(milliseconds: number): void {
        clearTimeout(this.#stallTimer);
        this.#stallTimer = setTimeout(
            () => setImmediate(() => this.#options.guard(() => this.#check())),
            milliseconds,
        );
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
        const { mayHedge, selection } = this.#options;
        if (!mayHedge()) {
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
        const { context, selection } = this.#options;
        return selection.chooseOther(
            this.#running(),
            upstream => this.#isAlive(upstream) || !context.probes.canProbe(upstream.service),
        );
    }

    /** A request that both upstreams may run loses nothing at one that answers only probes. */
    #isAlive({ id }: UpstreamAnnouncement): boolean {
        const { context: { liveness, readClock }, isExclusive } = this.#options;
        return isExclusive ? liveness.isAnswering(id, readClock()) : liveness.isReachable(id, readClock());
    }

    #probeOthers(): void {
        const { context, selection } = this.#options;
        const other = selection.chooseOther(this.#running());
        if (other !== undefined && context.probes.mayProbeMore(other.service)) {
            context.probes.probe(other);
        }
    }

    /** Upstreams that have the request now. */
    #running(): ReadonlySet<string> {
        return new Set(this.#options.attempts.list().map(({ upstream }) => upstream.id));
    }

    /** Ends one of the attempts at an exclusive request: a silent one only in favour of one whose upstream answers. */
    #endOverlap(hedge: Attempt): void {
        const { attempts, context, isExclusive } = this.#options;
        if (attempts.count < 2 || !attempts.has(hedge)) {
            return;
        }
        const isHedgeAnswering = context.liveness.isAnswering(hedge.upstream.id, context.readClock());
        match(decideOverlap({ isExclusive, isHedgeAnswering }))
            .with("cancel-stalled", () => this.keepOnly(hedge))
            .with("cancel-hedge", () => this.#options.onHedgeCancelled(hedge, "hedge-silent"))
            .with("cancel-none", () => undefined)
            .exhaustive();
    }
}
