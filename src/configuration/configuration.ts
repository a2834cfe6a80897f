/**
 * Decides which configuration revision is in force on a host, and whether the host is advertised to callers.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type Result } from "ts-results-es";
import { type Decision, type RandomSource, rankByRendezvous } from "../decision/index.js";
import { type Deployment } from "../generated/deployment.js";
import { type ConfigurationRecord } from "../generated/platform.js";
import { IsolationDetector, type MembershipView, RECENT_CONFIRMATION_MILLISECONDS } from "./_isolation.js";
import { PeerRevisions } from "./_peerRevisions.js";
import { type ConfigurationEffect, type ConfigurationMessage } from "./messages.js";
import { formatProblems, type TextProblem } from "./problems.js";
import { decodeRecordText } from "./recordText.js";

const WATCHERS_PER_ZONE = 3;
const WATCHER_READ_INTERVAL_MILLISECONDS = 2000;
/** Age of the latest confirmation from which a host that is not a watcher reads the store itself. */
const STALE_CONFIRMATION_MILLISECONDS = 6000;
const STALE_READ_INTERVAL_MILLISECONDS = 3000;
const CONSECUTIVE_LOWER_ANSWERS_TO_REPORT = 3;
const NEVER_CONFIRMED = -1;

/** Options of {@linkcode createConfigurationDecision}. */
export interface ConfigurationOptions {
    /** Name of this host. */
    readonly host: string;
    /** Parses a configuration; `parseDeployment` in a running host. */
    readonly parse: (text: string) => Result<Deployment, readonly TextProblem[]>;
    readonly random: RandomSource;
}

/** State that this host publishes in its heartbeats. */
export interface ConfigurationState {
    /** Revision in force; 0 for none. */
    readonly configurationRevision: number;
    /** Age of the latest confirmation by the key-value service; -1 for never. */
    readonly storeConfirmedMillisecondsAgo: number;
    /** False while this host is isolated or has no configuration in force. */
    readonly advertise: boolean;
}

/** The configuration decision of one host, with read access to its state for other tasks. */
export interface ConfigurationDecision extends Decision<ConfigurationMessage, ConfigurationEffect> {
    /** Returns the record in force; `undefined` before the first. */
    record(): ConfigurationRecord | undefined;
    /** Returns the deployment in force; `undefined` before the first. */
    deployment(): Deployment | undefined;
    /** Returns the state that membership includes in heartbeats. */
    heartbeatState(nowMilliseconds: number): ConfigurationState;
    /** Returns whether this host is one of the few in its zone that watch the key-value service. */
    watchesStore(liveHostsInZone: readonly string[]): boolean;
}

class Configuration implements ConfigurationDecision {
    readonly #options: ConfigurationOptions;
    readonly #isolation = new IsolationDetector();
    readonly #peers: PeerRevisions;
    readonly #rejected = new Set<number>();
    #inForce: { readonly record: ConfigurationRecord; readonly deployment: Deployment; } | undefined;
    #confirmedAtMilliseconds: number | undefined;
    #nextReadAtMilliseconds = -Infinity;
    #membershipView: MembershipView | undefined;
    #advertised = false;
    #consecutiveLowerAnswers = 0;

    constructor(options: ConfigurationOptions) {
        this.#options = options;
        this.#peers = new PeerRevisions(options.random);
    }

    handle(message: ConfigurationMessage, nowMilliseconds: number): readonly ConfigurationEffect[] {
        const effects = match(message)
            .with({ type: "store-answered" }, ({ record }) => this.#handleStoreAnswer(record, nowMilliseconds))
            .with({ type: "store-failed" }, () => [])
            .with({ type: "peer-heard" }, peerState => this.#recordPeerState(peerState, nowMilliseconds))
            .with({ type: "peer-answered" }, ({ host, record }) => {
                this.#peers.recordFetchEnd(host);
                return record === undefined ? [] : this.#activateIfNewer(record);
            })
            .with({ type: "peer-failed" }, ({ host }) => {
                this.#peers.recordFetchFailure(host);
                return [];
            })
            .with({ type: "presence" }, view => {
                this.#membershipView = view;
                return [];
            })
            .with({ type: "tick" }, () => this.#readStoreIfDue(nowMilliseconds))
            .exhaustive();
        return [...effects, ...this.#fetchNewer(nowMilliseconds), ...this.#updateAdvertising(nowMilliseconds)];
    }

    record(): ConfigurationRecord | undefined {
        return this.#inForce?.record;
    }

    deployment(): Deployment | undefined {
        return this.#inForce?.deployment;
    }

    heartbeatState(nowMilliseconds: number): ConfigurationState {
        const ageMilliseconds = this.#confirmationAgeMilliseconds(nowMilliseconds);
        return {
            configurationRevision: this.#revision(),
            storeConfirmedMillisecondsAgo: ageMilliseconds === undefined
                ? NEVER_CONFIRMED
                : Math.max(0, Math.round(ageMilliseconds)),
            advertise: this.#advertised,
        };
    }

    watchesStore(liveHostsInZone: readonly string[]): boolean {
        const hosts = [...new Set([...liveHostsInZone, this.#options.host])];
        return rankByRendezvous("configuration", hosts).slice(0, WATCHERS_PER_ZONE).includes(this.#options.host);
    }

    #revision(): number {
        return this.#inForce?.record.revision ?? 0;
    }

    #confirmationAgeMilliseconds(nowMilliseconds: number): number | undefined {
        return this.#confirmedAtMilliseconds === undefined
            ? undefined
            : nowMilliseconds - this.#confirmedAtMilliseconds;
    }

    #recordConfirmation(atMilliseconds: number): void {
        this.#confirmedAtMilliseconds = Math.max(this.#confirmedAtMilliseconds ?? -Infinity, atMilliseconds);
    }

    #handleStoreAnswer(record: ConfigurationRecord | undefined, nowMilliseconds: number): ConfigurationEffect[] {
        this.#recordConfirmation(nowMilliseconds);
        const foundRevision = record?.revision ?? 0;
        if (foundRevision < this.#revision()) {
            return this.#reportLowerRevision(foundRevision);
        }
        this.#consecutiveLowerAnswers = 0;
        return record === undefined ? [] : this.#activateIfNewer(record);
    }

    /** Reports that the service repeatedly returns a lower revision than the one in force; ignores one late answer. */
    #reportLowerRevision(foundRevision: number): ConfigurationEffect[] {
        this.#consecutiveLowerAnswers += 1;
        if (this.#consecutiveLowerAnswers !== CONSECUTIVE_LOWER_ANSWERS_TO_REPORT) {
            return [];
        }
        const message =
            `The key-value service holds revision ${foundRevision}; revision ${this.#revision()} stays in force.`;
        return [{ type: "reject-record", revision: foundRevision, message }];
    }

    #recordPeerState(
        peerState: Extract<ConfigurationMessage, { type: "peer-heard"; }>,
        nowMilliseconds: number,
    ): ConfigurationEffect[] {
        this.#peers.recordRevision(peerState.host, peerState.revision, nowMilliseconds);
        if (peerState.storeConfirmedMillisecondsAgo !== NEVER_CONFIRMED) {
            this.#recordConfirmation(nowMilliseconds - peerState.storeConfirmedMillisecondsAgo);
        }
        return [];
    }

    /** Activates a valid record with a higher revision than the one in force; an invalid revision is rejected once. */
    #activateIfNewer(record: ConfigurationRecord): ConfigurationEffect[] {
        if (record.revision <= this.#revision() || this.#rejected.has(record.revision)) {
            return [];
        }
        const outcome = decodeRecordText(record)
            .andThen(text => this.#options.parse(text).mapErr(formatProblems));
        if (outcome.isErr()) {
            this.#rejected.add(record.revision);
            return [{ type: "reject-record", revision: record.revision, message: outcome.error }];
        }
        this.#inForce = { record, deployment: outcome.value };
        return [{ type: "activate", record, deployment: outcome.value }];
    }

    #readStoreIfDue(nowMilliseconds: number): ConfigurationEffect[] {
        if (nowMilliseconds < this.#nextReadAtMilliseconds) {
            return [];
        }
        const isWatcher = this.watchesStore(this.#membershipView?.liveInZone ?? []);
        const ageMilliseconds = this.#confirmationAgeMilliseconds(nowMilliseconds) ?? Infinity;
        if (!isWatcher && ageMilliseconds < STALE_CONFIRMATION_MILLISECONDS && this.#inForce !== undefined) {
            return [];
        }
        const intervalMilliseconds = isWatcher ? WATCHER_READ_INTERVAL_MILLISECONDS : STALE_READ_INTERVAL_MILLISECONDS;
        this.#nextReadAtMilliseconds = nowMilliseconds + intervalMilliseconds * (1 + this.#options.random() / 2);
        return [{ type: "read-store" }];
    }

    #fetchNewer(nowMilliseconds: number): ConfigurationEffect[] {
        const host = this.#peers.chooseSource(this.#revision(), this.#rejected, nowMilliseconds);
        return host === undefined ? [] : [{ type: "fetch-from-peer", host }];
    }

    #updateAdvertising(nowMilliseconds: number): ConfigurationEffect[] {
        const recentPeers = this.#peers.countWithRecentHeartbeat(RECENT_CONFIRMATION_MILLISECONDS, nowMilliseconds);
        const view = this.#membershipView ?? { liveInZone: [], liveInRegion: recentPeers + 1 };
        const isIsolated = this.#isolation.isIsolated(
            view,
            this.#confirmationAgeMilliseconds(nowMilliseconds),
            nowMilliseconds,
        );
        const allowed = this.#inForce !== undefined && !isIsolated;
        if (allowed === this.#advertised) {
            return [];
        }
        this.#advertised = allowed;
        return [{ type: "advertise", allowed }];
    }
}

/**
 * Creates the configuration decision of one host.
 *
 * The highest revision that this host has seen, from the key-value service or from a peer, is in force; a lower one
 * never replaces it. The host starts unadvertised and becomes advertised with its first revision.
 *
 * @param options Name of this host, the configuration parser and the random source.
 * @returns The decision.
 *
 * @example
 * ```ts
 * const configuration = createConfigurationDecision({
 *     host: "host-1",
 *     parse: text => parseDeployment(text, { fileName: "configuration" }),
 *     random: createSeededRandom(1),
 * });
 * const effects = configuration.handle({ type: "tick" }, 0);
 * ```
 */
export function createConfigurationDecision(options: ConfigurationOptions): ConfigurationDecision {
    return new Configuration(options);
}
