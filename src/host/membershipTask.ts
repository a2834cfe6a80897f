/**
 * Runs the membership decision: exchanges heartbeats with peers and reads the platform's list of hosts.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type ConfigurationState } from "../configuration/index.js";
import {
    type Digest,
    type HostIdentity,
    type ResidencyDigest,
    type SharedState,
    type SuspectDigest,
} from "../generated/peers.js";
import {
    createMembershipDecision,
    FULL_MESH_HOSTS,
    type MembershipDecision,
    type MembershipEffect,
    type MembershipMessage,
} from "../membership/index.js";
import { type HostContext } from "./context.js";
import { composeDigest, createDigestCollector, type DigestRound } from "./digestCollector.js";
import { type HostEvent } from "./events.js";
import { createTask } from "./task.js";

const TICK_MILLISECONDS = 250;
const COALESCING_DELAY_MILLISECONDS = 20;
const HOST_LIST_INTERVAL_MILLISECONDS = 2000;

/** Digests of a reply: none, since a reply goes to one peer, and digests are counted in rounds to all targets. */
const EMPTY_ROUND: DigestRound = { engines: [], residency: [], suspects: [], demand: [] };

/** The running membership task. */
export interface MembershipTask {
    /** Read-only queries of the decision; messages go through the task. */
    readonly view: Pick<
        MembershipDecision,
        | "livePeers"
        | "livePeersIncludingLeaving"
        | "knownHosts"
        | "presence"
        | "rankAddresses"
        | "pollerOf"
        | "reachable"
    >;
    /** Handles a peer's heartbeat, and publishes its digests as events of this host. */
    receiveDigest(digest: Digest): void;
    /** Updates the configuration state that heartbeats carry. */
    updateConfigurationState(state: ConfigurationState): void;
    /** Returns the residency and suspects for a peer that has just started. */
    sharedState(): SharedState;
    /** Publishes to peers that this host leaves. */
    leave(): void;
    close(): void;
}

class MembershipRunner implements MembershipTask {
    readonly view: MembershipDecision;
    readonly #context: HostContext;
    readonly #digests = createDigestCollector({
        forwardsPeerDigests: () => this.view.livePeers().length >= FULL_MESH_HOSTS,
    });
    readonly #task;
    readonly #hostListTimer: NodeJS.Timeout;
    #coalescingTimer: NodeJS.Timeout | undefined;

    constructor(context: HostContext) {
        this.#context = context;
        const { identity } = context;
        const { random, seed } = context.traces.createSources();
        this.view = createMembershipDecision({ identity, random });
        const traced = context.traces.wrap("membership", { identity, seed }, this.view);
        this.#task = createTask<MembershipMessage, MembershipEffect>(traced, {
            clock: context.clock,
            perform: effects => this.#perform(effects),
            tick: { message: { type: "tick" }, intervalMilliseconds: TICK_MILLISECONDS },
        });
        context.events.subscribe(event => this.#handleEvent(event));
        this.#hostListTimer = setInterval(() => void this.#readHostList(), HOST_LIST_INTERVAL_MILLISECONDS);
        void this.#readHostList();
    }

    receiveDigest(digest: Digest): void {
        const { events } = this.#context;
        const { status, known, progress } = digest;
        this.#task.send({ type: "heartbeat-received", status, known, progress });
        events.publish({ type: "peer-heard", status: digest.status });
        digest.engines.forEach(engine => events.publish({ type: "engine-observed", digest: engine, origin: "peer" }));
        digest.residency.forEach(residency => events.publish({ type: "residency", digest: residency, origin: "peer" }));
        if (digest.suspects.length > 0) {
            events.publish({ type: "suspects", digests: digest.suspects, origin: "peer" });
        }
        if (digest.demand.length > 0) {
            events.publish({ type: "demand", demand: digest.demand, origin: "peer" });
        }
    }

    updateConfigurationState(state: ConfigurationState): void {
        this.#task.send({ type: "own-state", ...state });
    }

    sharedState(): SharedState {
        return this.#digests.sharedState();
    }

    leave(): void {
        this.#task.send({ type: "leave" });
    }

    close(): void {
        clearInterval(this.#hostListTimer);
        clearTimeout(this.#coalescingTimer);
        this.#task.close();
    }

    #handleEvent(event: HostEvent): void {
        match(event)
            .with(
                { type: "engine-observed" },
                ({ digest, origin }) =>
                    this.#digests.recordEngine(digest, this.#context.clock(), origin === "own-poll" ? "own" : "peer"),
            )
            .with({ type: "residency" }, ({ digest, origin }) => this.#recordResidency(digest, origin))
            .with({ type: "suspects" }, ({ digests, origin }) => this.#recordSuspects(digests, origin))
            .with(
                { type: "demand", origin: "own" },
                ({ demand }) => demand.forEach(entry => this.#digests.addDemand(entry)),
            )
            .otherwise(() => undefined);
    }

    #recordResidency(digest: ResidencyDigest, origin: "holder" | "peer"): void {
        const isNewer = this.#digests.recordResidency(digest, origin === "holder" ? "own" : "peer");
        if (isNewer && origin === "holder") {
            this.#triggerHeartbeatsSoon();
        }
    }

    #recordSuspects(digests: readonly SuspectDigest[], origin: "own" | "peer"): void {
        this.#digests.recordSuspects(digests, origin);
        if (origin === "own") {
            this.#triggerHeartbeats();
        }
    }

    /** Sends heartbeats at once, since peers have to know a suspect before its request is run again. */
    #triggerHeartbeats(): void {
        this.#task.send({ type: "share-now" });
    }

    /** Sends heartbeats after a short delay, so that peers soon route to a new copy and changes share one heartbeat. */
    #triggerHeartbeatsSoon(): void {
        this.#coalescingTimer ??= setTimeout(() => {
            this.#coalescingTimer = undefined;
            this.#triggerHeartbeats();
        }, COALESCING_DELAY_MILLISECONDS);
    }

    #perform(effects: readonly MembershipEffect[]): void {
        const heartbeats = effects.filter(effect => effect.type === "send-heartbeat");
        if (heartbeats.length > 0) {
            const round = this.#digests.finishRound(this.#context.clock());
            heartbeats.forEach(heartbeat => void this.#sendHeartbeat(heartbeat, round));
        }
        const replies = effects.filter(effect => effect.type === "send-reply");
        replies.forEach(reply => void this.#sendHeartbeat(reply, EMPTY_ROUND));
        const changes = effects.filter(effect => effect.type !== "send-heartbeat" && effect.type !== "send-reply");
        for (const change of changes) {
            this.#context.logger.info(change.type, {
                peer: change.identity.host,
                incarnation: change.identity.incarnation,
            });
        }
        if (changes.length > 0) {
            this.#publishPeers(this.view.livePeers());
        }
    }

    #publishPeers(live: readonly HostIdentity[]): void {
        this.#context.metrics.gauge("membership.peers", live.length);
        this.#context.peers.keepOnly(new Set(this.view.knownHosts().map(({ peersUrl }) => peersUrl)));
        this.#context.events.publish({
            type: "peers-changed",
            live,
            liveIncludingLeaving: this.view.livePeersIncludingLeaving(),
        });
    }

    async #sendHeartbeat(
        heartbeat: Extract<MembershipEffect, { type: "send-heartbeat" | "send-reply"; }>,
        round: DigestRound,
    ): Promise<void> {
        const client = this.#context.peers.get(heartbeat.peersUrl, heartbeat.peersUrl);
        const sent = await client.sendDigest(composeDigest(round, heartbeat));
        if (sent.isErr() && heartbeat.host !== undefined) {
            this.#context.logger.debug("heartbeat failed", { peer: heartbeat.host, cause: sent.error.message });
            this.#task.send({ type: "send-failed", host: heartbeat.host });
        }
    }

    async #readHostList(): Promise<void> {
        const listing = await this.#context.hostList.read();
        if (listing.isErr()) {
            this.#context.metrics.increment("platform.errors", { kind: listing.error.kind });
            return;
        }
        const { live, leaving, leavingEngines } = listing.value;
        this.#task.send({ type: "host-list", live, leaving });
        this.#context.events.publish({ type: "engines-leaving", engines: leavingEngines });
    }
}

/**
 * Starts the membership task.
 *
 * @param context Settings, clients and observability of this host.
 *
 * @example
 * ```ts
 * const membership = startMembershipTask(context);
 * const addresses = membership.view.rankAddresses({ zone: "ma-west-1" });
 * ```
 */
export function startMembershipTask(context: HostContext): MembershipTask {
    return new MembershipRunner(context);
}
