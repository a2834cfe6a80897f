/**
 * Keeps the requests of all hosts to an upstream within the rate limit that it names.
 *
 * @module
 */
import { type UpstreamIncarnation } from "../fleet/index.js";
import {
    type FleetSummary,
    type LimitReport,
    type LimitVote,
    type PermitGrant,
    type PermitRequest,
} from "../generated/gossip.js";
import { IssuerChoice } from "./_issuerChoice.js";
import { HostPermits, type PermitExpectation } from "./hostPermits.js";
import { IssuerVotes } from "./issuerVotes.js";
import { toLimitObservation, toLimitReport } from "./limitReports.js";
import { type LimitChange, type LimitObservation, type NamedLimits } from "./namedLimits.js";
import { type IssuedPermits, PermitIssuer } from "./permitIssuer.js";
import { type WaitingRequest } from "./waitingGroups.js";

/** Minimum rate of permits, so that the end of a limit of 0 is noticed. */
const MINIMUM_PERMITS_PER_SECOND = 0.5;

/** A withdrawn limit is reported to peers for this long. */
const WITHDRAWN_REPORT_MILLISECONDS = 3_000;

/** Interval at which a host requests spare permits; its growth with the fleet bounds how many an issuer receives. */
const MINIMUM_SPARE_INTERVAL_MILLISECONDS = 500;
const SPARE_INTERVAL_MILLISECONDS_PER_HOST = 40;

/** What this host knows of the fleet. */
export interface Fleet {
    /** Live hosts that are not leaving, this one included unless it is leaving. */
    readonly liveHosts: readonly string[];
    /** Number of known hosts, this one included. */
    readonly hostCount: number;
    readonly isCellPeer: (host: string) => boolean;
}

/** A message to the host that issues permits, or from it. */
export type PermitMessage = PermitRequest | PermitGrant;

/** Options of a rate limiter. */
export interface RateLimiterOptions {
    readonly host: string;
    readonly limits: NamedLimits;
    readonly fleet: () => Fleet;
    /** Returns whether an upstream's incarnation, or an older one, is known; reports of others would never be removed. */
    readonly isPresent: (upstream: UpstreamIncarnation) => boolean;
    /** Sends a message to another host; it may be lost. */
    readonly send: (host: string, message: PermitMessage) => void;
    /** Permits were received, or the time until a permit may be expected is known. */
    readonly onAnswered: (upstream: string, permits: number) => void;
    /** A peer's report changed a limit. */
    readonly onLimitChanged: (change: LimitChange, receivedBy: string) => void;
}

/** Whether a request may be sent to an upstream now. */
export type PermitState = "unlimited" | "permitted" | "wait";

/** State of a limit for logs. */
export interface LimitDescription {
    readonly limitPerSecond: number | undefined;
    readonly limitAgeMilliseconds: number;
    /** The host to which the upstream named the limit. */
    readonly limitNamedTo: string;
    readonly permitIssuer: string;
    /** Permits that this host received a second, over the last seconds. */
    readonly hostPermitsPerSecond: number;
}

interface LimitedUpstream {
    readonly permits: HostPermits;
    issuer: string;
}

/**
 * Requests to an upstream that names a limit need a permit. One host issues the permits to an upstream, so that any
 * host can use the whole limit: the first by rendezvous hashing among the live hosts. Each host asks one issuer at a
 * time, and an issuer grants only the share of the limit that the hosts that ask it have among all. So hosts that
 * disagree on the issuer, since some do not reach it, do not exceed the limit together.
 *
 * @example
 * ```ts
 * const limiter = new RateLimiter({ host, limits, fleet, isPresent, send, onAnswered, onLimitChanged });
 * const request = { id: "9c41d07b", priority: 1, sinceMilliseconds: now };
 * if (limiter.state(upstream, request, now) === "wait") {
 *     limiter.enqueue(upstream, request, now);
 * }
 * ```
 */
export class RateLimiter {
    readonly #options: RateLimiterOptions;
    readonly #issuerChoice: IssuerChoice;
    readonly #votes: IssuerVotes;
    readonly #limited = new Map<string, LimitedUpstream>();
    readonly #issuers = new Map<string, PermitIssuer>();

    constructor(options: RateLimiterOptions) {
        this.#options = options;
        this.#issuerChoice = new IssuerChoice({
            host: options.host,
            issuingHosts: () => options.fleet().liveHosts,
        });
        this.#votes = new IssuerVotes(options.host);
    }

    /** Returns whether `tick` must be called every few milliseconds. */
    get isActive(): boolean {
        return [...this.#limited.values()].some(({ permits }) => permits.isActive)
            || [...this.#issuers.values()].some(issuer => issuer.isActive);
    }

    /** Returns whether an upstream names a limit, so that each request to it needs a permit. */
    isLimited(upstream: string): boolean {
        return this.#options.limits.inForce(upstream) !== undefined;
    }

    /** Returns whether a request may be sent to an upstream now; a permit is for the request that comes first. */
    state(upstream: string, request: WaitingRequest, nowMilliseconds: number): PermitState {
        if (!this.isLimited(upstream)) {
            return "unlimited";
        }
        const permits = this.#limited.get(upstream)?.permits;
        return permits?.hasPermitFor(request, nowMilliseconds) === true ? "permitted" : "wait";
    }

    /** Uses a permit for a request that is sent; returns false where it needs one and none is at hand for it. */
    tryUse(upstream: string, request: WaitingRequest, nowMilliseconds: number): boolean {
        return !this.isLimited(upstream)
            || this.#limited.get(upstream)?.permits.tryUse(request, nowMilliseconds) === true;
    }

    /** Lets a request wait for a permit. */
    enqueue(upstream: string, request: WaitingRequest, nowMilliseconds: number): void {
        if (this.isLimited(upstream)) {
            this.#limitedUpstream(upstream, nowMilliseconds).permits.add(request);
            this.#sendRequest(upstream, nowMilliseconds);
        }
    }

    /** Removes a request that no longer waits. */
    dequeue(upstream: string, request: string): void {
        this.#limited.get(upstream)?.permits.remove(request);
    }

    /** Requests a permit for a later request, which also shows whether the upstream still names its limit. */
    requestSpare(upstream: string, nowMilliseconds: number): void {
        if (this.isLimited(upstream)) {
            this.#limitedUpstream(upstream, nowMilliseconds).permits.requestSpare(
                Math.max(
                    MINIMUM_SPARE_INTERVAL_MILLISECONDS,
                    this.#options.fleet().hostCount * SPARE_INTERVAL_MILLISECONDS_PER_HOST,
                ),
                nowMilliseconds,
            );
            this.#sendRequest(upstream, nowMilliseconds);
        }
    }

    /** Returns when a request is expected to get a permit; `undefined` where the issuer has not told recently. */
    expect(upstream: string, request: WaitingRequest, nowMilliseconds: number): PermitExpectation | undefined {
        return this.#limited.get(upstream)?.permits.expect(request, nowMilliseconds);
    }

    /** Describes the limit of an upstream; `undefined` where none is in force. */
    describe(upstream: string, nowMilliseconds: number): LimitDescription | undefined {
        const limit = this.#options.limits.inForce(upstream);
        if (limit === undefined) {
            return undefined;
        }
        const { issuer, permits } = this.#limitedUpstream(upstream, nowMilliseconds);
        return {
            limitPerSecond: limit.requestsPerSecond,
            limitAgeMilliseconds: Math.round(nowMilliseconds - limit.receivedAtMilliseconds),
            limitNamedTo: limit.receivedBy,
            permitIssuer: issuer,
            hostPermitsPerSecond: permits.permitsPerSecond(nowMilliseconds),
        };
    }

    /** Receives a message of another host. */
    receive(message: PermitMessage, nowMilliseconds: number): void {
        this.recordReports([message.report], nowMilliseconds);
        if (message.type === "permit-request") {
            this.#receiveRequest(message, nowMilliseconds);
        }
        else {
            this.#receiveGrant(message, nowMilliseconds);
        }
    }

    /** Records the limits that peers reported. */
    recordReports(reports: readonly LimitReport[], nowMilliseconds: number): void {
        for (const report of reports) {
            const observation = toLimitObservation(report, nowMilliseconds);
            const change = this.#options.isPresent(observation.upstream)
                ? this.#options.limits.record(observation)
                : undefined;
            if (change !== undefined) {
                this.#options.onLimitChanged(change, report.receivedBy);
            }
        }
    }

    /** Records the limits and issuers that a host of the own cell reported. */
    recordVotes(host: string, votes: readonly LimitVote[], nowMilliseconds: number): void {
        this.recordReports(votes.map(({ report }) => report), nowMilliseconds);
        const issuers = votes.flatMap(({ issuer, report }) =>
            issuer === undefined ? [] : [[report.upstream, issuer] as const]
        );
        this.#votes.recordHost(host, new Map(issuers), nowMilliseconds);
    }

    /** Records the limits that hosts of other cells reported, and how many of them ask which host. */
    recordOtherCells(
        { issuerVotes = [], limits = [] }: Pick<FleetSummary, "issuerVotes" | "limits">,
        nowMilliseconds: number,
    ): void {
        this.recordReports(limits, nowMilliseconds);
        const forThisHost = issuerVotes.filter(({ issuer }) => issuer === this.#options.host);
        const counts = new Map(forThisHost.map(({ upstream, votes }) => [upstream, votes]));
        for (const { upstream } of limits) {
            this.#votes.recordOtherCells(upstream, counts.get(upstream) ?? 0, nowMilliseconds);
        }
    }

    /** Returns the limits that this host knows, and whom it asks for permits, to report them to peers. */
    ownVotes(nowMilliseconds: number): LimitVote[] {
        return this.#options.limits.all(nowMilliseconds).flatMap(observation => {
            const report = toLimitReport(observation, nowMilliseconds);
            if (observation.requestsPerSecond !== undefined) {
                return [{ report, issuer: this.#limitedUpstream(observation.upstream.id, nowMilliseconds).issuer }];
            }
            return report.receivedAgeMilliseconds < WITHDRAWN_REPORT_MILLISECONDS ? [{ report }] : [];
        });
    }

    /** Sends requests for permits that are due, and issues permits. */
    tick(nowMilliseconds: number): void {
        for (const [upstream, { permits }] of this.#limited) {
            if (!this.isLimited(upstream)) {
                this.#limited.delete(upstream);
                this.#issuerChoice.forget(upstream);
                this.#options.onAnswered(upstream, 0);
            }
            else if (permits.isActive) {
                this.#sendRequest(upstream, nowMilliseconds);
            }
        }
        for (const upstream of this.#issuers.keys()) {
            this.#issue(upstream, nowMilliseconds);
        }
    }

    /** Returns the permits of an upstream, and makes sure that they are requested from the present issuer. */
    #limitedUpstream(upstream: string, nowMilliseconds: number): LimitedUpstream {
        const known = this.#limited.get(upstream);
        if (known?.permits.isIssuerUnresponsive(nowMilliseconds) === true) {
            this.#issuerChoice.passOver(known.issuer, nowMilliseconds);
        }
        const issuer = this.#issuerChoice.choose(upstream, nowMilliseconds);
        if (known === undefined) {
            const limited = { permits: new HostPermits(), issuer };
            this.#limited.set(upstream, limited);
            return limited;
        }
        if (known.issuer !== issuer) {
            known.issuer = issuer;
            known.permits.resetIssuer();
        }
        return known;
    }

    #sendRequest(upstream: string, nowMilliseconds: number): void {
        const { host, limits, send } = this.#options;
        const { issuer, permits } = this.#limitedUpstream(upstream, nowMilliseconds);
        const limit = limits.inForce(upstream);
        const wanted = limit === undefined ? undefined : permits.nextRequest(nowMilliseconds);
        if (limit === undefined || wanted === undefined) {
            return;
        }
        const report = toLimitReport(limit, nowMilliseconds);
        const request: PermitRequest = { type: "permit-request", host, report, ...wanted };
        if (issuer === host) {
            this.#receiveRequest(request, nowMilliseconds);
        }
        else {
            send(issuer, request);
        }
    }

    #receiveRequest(request: PermitRequest, nowMilliseconds: number): void {
        const { upstream } = request.report;
        if (request.host !== this.#options.host) {
            this.#votes.recordRequest(request.host, upstream, nowMilliseconds);
        }
        const issuer = this.#issuers.get(upstream) ?? new PermitIssuer(nowMilliseconds);
        this.#issuers.set(upstream, issuer);
        issuer.receive(request, nowMilliseconds);
        this.#issue(upstream, nowMilliseconds);
    }

    #issue(upstream: string, nowMilliseconds: number): void {
        const issuer = this.#issuers.get(upstream);
        const observation = this.#options.limits.latest(upstream);
        if (issuer === undefined) {
            return;
        }
        if (observation === undefined) {
            this.#issuers.delete(upstream);
            return;
        }
        const permitsPerSecond = this.#issueRate(observation, nowMilliseconds);
        for (const issued of issuer.issue(permitsPerSecond, nowMilliseconds)) {
            this.#sendGrant(issued, { issuer, observation, permitsPerSecond }, nowMilliseconds);
        }
    }

    /** Returns the share of the limit that this host may issue; 0 once the limit was withdrawn. */
    #issueRate({ requestsPerSecond, upstream }: LimitObservation, nowMilliseconds: number): number {
        if (requestsPerSecond === undefined) {
            return 0;
        }
        const { fleet, host } = this.#options;
        const { hostCount, isCellPeer } = fleet();
        const ownVote = this.#limitedUpstream(upstream.id, nowMilliseconds).issuer === host ? 1 : 0;
        const votes = this.#votes.count(upstream.id, isCellPeer, nowMilliseconds) + ownVote;
        return Math.max(MINIMUM_PERMITS_PER_SECOND, requestsPerSecond) * Math.min(1, votes / Math.max(1, hostCount));
    }

    #sendGrant(
        issued: IssuedPermits,
        { issuer, observation, permitsPerSecond }: {
            readonly issuer: PermitIssuer;
            readonly observation: LimitObservation;
            readonly permitsPerSecond: number;
        },
        nowMilliseconds: number,
    ): void {
        const { host, send } = this.#options;
        const grant: PermitGrant = {
            type: "permit-grant",
            host,
            report: toLimitReport(observation, nowMilliseconds),
            sequence: issued.sequence,
            request: issued.request,
            permits: issued.permits,
            permitsPerSecond,
            waiting: issuer.waiting(),
            resendMilliseconds: issuer.resendMilliseconds,
        };
        if (issued.host === host) {
            this.#receiveGrant(grant, nowMilliseconds);
        }
        else {
            send(issued.host, grant);
        }
    }

    #receiveGrant(grant: PermitGrant, nowMilliseconds: number): void {
        const { upstream } = grant.report;
        const limited = this.#limited.get(upstream);
        if (limited?.issuer === grant.host) {
            const permits = limited.permits.receive(grant, nowMilliseconds);
            this.#options.onAnswered(upstream, permits);
        }
    }
}
