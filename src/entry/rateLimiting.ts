/**
 * Runs the rate limiter of a host and its leases of upstreams' slots: their timer, messages and what they report.
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
    SlotLeases,
    type SlotMessage,
} from "../rateLimits/index.js";

/** Interval at which permits and slots are requested and granted while some are needed. */
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
    /** Returns whether this host's requests to an upstream need a leased slot. */
    readonly isLeased: (upstream: string) => boolean;
    /** Returns the slots of an upstream; 0 where it is not known. */
    readonly slotsOf: (upstream: string) => number;
    /** Returns this host's requests that are in flight at an upstream. */
    readonly inFlight: (upstream: string) => number;
    /** Sends a message to another host; it may be lost. */
    readonly send: (host: string, message: PermitMessage | SlotMessage) => void;
    /** A peer's report changed a limit. */
    readonly onLimitChanged: (change: LimitChange, receivedBy: string) => void;
    /** Requests that wait for a permit or a slot may be sent, or should be decided on again. */
    readonly onAnswered: () => void;
}

/** The rate limiter and the slot leases of a host, and the timer that they need while requests wait for them. */
export class RateLimiting {
    readonly limiter: RateLimiter;
    readonly leases: SlotLeases;
    readonly #options: RateLimitingOptions;
    #fleet: (Fleet & { readonly atMilliseconds: number; readonly sendingHosts: readonly string[]; }) | undefined;
    #timer: NodeJS.Timeout | undefined;
    #wakeScheduled = false;
    #closed = false;

    constructor(options: RateLimitingOptions) {
        const { host, inFlight, isLeased, isPresent, limits, metrics, onLimitChanged, send, slotsOf } = options;
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
        this.leases = new SlotLeases({
            host,
            inFlight,
            isLeased,
            send,
            slotsOf,
            issuingHosts: () => this.#describeFleet().liveHosts,
            onActive: () => this.update(),
            onAnswered: () => this.#scheduleWake(),
        });
    }

    /** Starts the timer where hosts wait for permits or slots, or hold slots. */
    update(): void {
        if (this.#timer === undefined && !this.#closed && this.#isActive) {
            this.#timer = setInterval(() => this.#tick(), TICK_MILLISECONDS);
        }
    }

    /** Receives a message of another host. */
    receive(message: PermitMessage | SlotMessage): void {
        const now = this.#options.readClock();
        if (message.type === "slot-request" || message.type === "slot-grant") {
            this.leases.receive(message, now);
        }
        else {
            this.limiter.receive(message, now);
        }
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
        const now = this.#options.readClock();
        this.limiter.tick(now);
        this.leases.tick(now);
        if (!this.#isActive) {
            this.#stopTimer();
        }
    }

    get #isActive(): boolean {
        return this.limiter.isActive || this.leases.isActive;
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
