/**
 * Runs the rate limiter of a host: its timer, its messages and what it reports.
 *
 * @module
 */
import { type UpstreamIncarnation } from "../fleet/index.js";
import { type PeerTable } from "../gossip/index.js";
import { type EntryMetrics } from "../observability/index.js";
import {
    type Fleet,
    type LimitChange,
    type NamedLimits,
    type PermitMessage,
    RateLimiter,
} from "../rateLimits/index.js";

/** Interval at which permits are requested and issued while a limit is in force. */
const TICK_MILLISECONDS = 25;

/** The view of the fleet is computed again after this time. */
const FLEET_LIFETIME_MILLISECONDS = 200;

/** Options of rate limiting. */
export interface RateLimitingOptions {
    readonly host: string;
    readonly limits: NamedLimits;
    readonly peers: PeerTable;
    readonly metrics: EntryMetrics;
    readonly readClock: () => number;
    readonly isLeaving: () => boolean;
    /** Returns whether an upstream is known, and no later incarnation of it. */
    readonly isPresent: (upstream: UpstreamIncarnation) => boolean;
    /** Sends a message to another host; it may be lost. */
    readonly send: (host: string, message: PermitMessage) => void;
    /** A peer's report changed a limit. */
    readonly onLimitChanged: (change: LimitChange, receivedBy: string) => void;
    /** Requests that wait for a permit may be sent, or should be decided on again. */
    readonly onAnswered: () => void;
}

/** The rate limiter of a host, and the timer that it needs while requests wait for permits. */
export class RateLimiting {
    readonly limiter: RateLimiter;
    readonly #options: RateLimitingOptions;
    #fleet: (Fleet & { readonly atMilliseconds: number; readonly sendingHosts: readonly string[]; }) | undefined;
    #timer: NodeJS.Timeout | undefined;
    #wakeScheduled = false;
    #closed = false;

    constructor(options: RateLimitingOptions) {
        const { host, isPresent, limits, metrics, onLimitChanged, send } = options;
        this.#options = options;
        this.limiter = new RateLimiter({
            host,
            limits,
            isPresent,
            send,
            onLimitChanged,
            fleet: () => this.#describeFleet(),
            onAnswered: (_upstream, permits) => {
                metrics.add("limit_permits", { outcome: "received" }, permits);
                this.#scheduleWake();
            },
        });
    }

    /** Starts the timer where requests wait for permits or are being issued some. */
    update(): void {
        if (this.#timer === undefined && !this.#closed && this.limiter.isActive) {
            this.#timer = setInterval(() => this.#tick(), TICK_MILLISECONDS);
        }
    }

    /** Receives a message of another host. */
    receive(message: PermitMessage): void {
        this.limiter.receive(message, this.#options.readClock());
        this.update();
    }

    /** Applies a change of a limit to the requests that wait. */
    handleLimitChange(): void {
        this.#tick();
        this.#scheduleWake();
        this.update();
    }

    /** Returns the hosts that send requests, this one included while it leaves; the same array for a short time. */
    sendingHosts(): readonly string[] {
        return this.#describeFleet().sendingHosts;
    }

    close(): void {
        this.#closed = true;
        this.#stopTimer();
    }

    #tick(): void {
        this.limiter.tick(this.#options.readClock());
        if (!this.limiter.isActive) {
            this.#stopTimer();
        }
    }

    #stopTimer(): void {
        clearInterval(this.#timer);
        this.#timer = undefined;
    }

    /** Wakes waiting requests once for several answers; later, since an answer may arrive while a request is decided on. */
    #scheduleWake(): void {
        if (!this.#wakeScheduled) {
            this.#wakeScheduled = true;
            setImmediate(() => {
                this.#wakeScheduled = false;
                if (!this.#closed) {
                    this.#options.onAnswered();
                }
            });
        }
    }

    #describeFleet(): Fleet & { readonly sendingHosts: readonly string[]; } {
        const { host, isLeaving, peers, readClock } = this.#options;
        const now = readClock();
        if (this.#fleet === undefined || now - this.#fleet.atMilliseconds >= FLEET_LIFETIME_MILLISECONDS) {
            const livePeers = peers.live(now).filter(({ leaving }) => !leaving).map(peer => peer.host);
            const cell = new Set(peers.division().ownCell.map(member => member.host));
            this.#fleet = {
                atMilliseconds: now,
                liveHosts: isLeaving() ? livePeers : [...livePeers, host],
                sendingHosts: [...livePeers, host],
                hostCount: peers.all(now).length + 1,
                isCellPeer: other => cell.has(other),
            };
        }
        return this.#fleet;
    }
}
