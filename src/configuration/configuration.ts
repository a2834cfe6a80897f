/**
 * The configuration decision of one host: which revision is in force.
 *
 * @module
 */
import { match } from "ts-pattern";
import { type Result } from "ts-results-es";
import { type Decision, type RandomSource, rankByRendezvous } from "../decision/index.js";
import { type Deployment } from "../generated/deployment.js";
import { type ConfigurationRecord } from "../generated/platform.js";
import { IsolationJudge, type Presence, RECENT_CONFIRMATION_MILLISECONDS } from "./_isolation.js";
import { PeerRevisions } from "./_peerRevisions.js";
import { type ConfigurationEffect, type ConfigurationMessage } from "./messages.js";
import { formatProblems, type TextProblem } from "./problems.js";
import { decodeRecordText } from "./recordText.js";

const WATCHERS_PER_ZONE = 3;
const WATCHER_READ_INTERVAL_MILLISECONDS = 2000;
/** A host that does not watch reads the store itself once its latest confirmation is this old. */
const DOUBT_MILLISECONDS = 6000;
const DOUBT_READ_INTERVAL_MILLISECONDS = 3000;
const LOWER_ANSWERS_TO_REPORT = 3;
const NEVER_CONFIRMED = -1;

/** Options of {@linkcode createConfigurationDecision}. */
export interface ConfigurationOptions {
    /** Name of this host. */
    readonly host: string;
    /** Reads the operators' text; `parseDeployment` in a running host. */
    readonly parse: (text: string) => Result<Deployment, readonly TextProblem[]>;
    readonly random: RandomSource;
}

/** What this host tells of itself with its heartbeats. */
export interface ConfigurationState {
    readonly configurationRevision: number;
    readonly storeConfirmedMillisecondsAgo: number;
    readonly advertise: boolean;
}

/** The configuration decision, with the questions that other tasks ask it. */
export interface ConfigurationDecision extends Decision<ConfigurationMessage, ConfigurationEffect> {
    /** Gives the record in force. */
    record(): ConfigurationRecord | undefined;
    /** Gives the deployment in force. */
    deployment(): Deployment | undefined;
    /** Gives what membership sends along with heartbeats. */
    state(nowMilliseconds: number): ConfigurationState;
    /** Tells whether this host is one of the few of its zone that watch the key-value service. */
    watchesStore(liveHostsInZone: readonly string[]): boolean;
}

class Configuration implements ConfigurationDecision {
    readonly #options: ConfigurationOptions;
    readonly #judge = new IsolationJudge();
    readonly #peers: PeerRevisions;
    readonly #rejected = new Set<number>();
    #inForce: { readonly record: ConfigurationRecord; readonly deployment: Deployment; } | undefined;
    #confirmedAtMilliseconds: number | undefined;
    #nextReadAtMilliseconds = -Infinity;
    #presence: Presence | undefined;
    #advertised = false;
    #lowerAnswers = 0;

    constructor(options: ConfigurationOptions) {
        this.#options = options;
        this.#peers = new PeerRevisions(options.random);
    }

    handle(message: ConfigurationMessage, nowMilliseconds: number): readonly ConfigurationEffect[] {
        const effects = match(message)
            .with({ type: "store-answered" }, ({ record }) => this.#takeStoreAnswer(record, nowMilliseconds))
            .with({ type: "store-failed" }, () => [])
            .with({ type: "peer-heard" }, heard => this.#hearPeer(heard, nowMilliseconds))
            .with({ type: "peer-answered" }, ({ host, record }) => {
                this.#peers.fetchEnded(host);
                return record === undefined ? [] : this.#consider(record);
            })
            .with({ type: "peer-failed" }, ({ host }) => {
                this.#peers.fetchFailed(host);
                return [];
            })
            .with({ type: "presence" }, presence => {
                this.#presence = presence;
                return [];
            })
            .with({ type: "tick" }, () => this.#readStoreWhereDue(nowMilliseconds))
            .exhaustive();
        return [...effects, ...this.#fetchNewer(nowMilliseconds), ...this.#judgeAdvertising(nowMilliseconds)];
    }

    record(): ConfigurationRecord | undefined {
        return this.#inForce?.record;
    }

    deployment(): Deployment | undefined {
        return this.#inForce?.deployment;
    }

    state(nowMilliseconds: number): ConfigurationState {
        const ago = this.#confirmedAgo(nowMilliseconds);
        return {
            configurationRevision: this.#revision(),
            storeConfirmedMillisecondsAgo: ago === undefined ? NEVER_CONFIRMED : Math.max(0, Math.round(ago)),
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

    #confirmedAgo(nowMilliseconds: number): number | undefined {
        return this.#confirmedAtMilliseconds === undefined
            ? undefined
            : nowMilliseconds - this.#confirmedAtMilliseconds;
    }

    #confirm(atMilliseconds: number): void {
        this.#confirmedAtMilliseconds = Math.max(this.#confirmedAtMilliseconds ?? -Infinity, atMilliseconds);
    }

    #takeStoreAnswer(record: ConfigurationRecord | undefined, nowMilliseconds: number): ConfigurationEffect[] {
        this.#confirm(nowMilliseconds);
        const found = record?.revision ?? 0;
        if (found < this.#revision()) {
            return this.#reportStepBack(found);
        }
        this.#lowerAnswers = 0;
        return record === undefined ? [] : this.#consider(record);
    }

    /** Reports that the key-value service keeps holding less than what is in force; one late answer is no reason. */
    #reportStepBack(found: number): ConfigurationEffect[] {
        this.#lowerAnswers += 1;
        if (this.#lowerAnswers !== LOWER_ANSWERS_TO_REPORT) {
            return [];
        }
        const message = `The key-value service holds revision ${found}; revision ${this.#revision()} stays in force.`;
        return [{ type: "reject-record", revision: found, message }];
    }

    #hearPeer(
        heard: Extract<ConfigurationMessage, { type: "peer-heard"; }>,
        nowMilliseconds: number,
    ): ConfigurationEffect[] {
        this.#peers.hear(heard.host, heard.revision, nowMilliseconds);
        if (heard.storeConfirmedMillisecondsAgo !== NEVER_CONFIRMED) {
            this.#confirm(nowMilliseconds - heard.storeConfirmedMillisecondsAgo);
        }
        return [];
    }

    /** Puts a record into force if its revision is higher than any before. */
    #consider(record: ConfigurationRecord): ConfigurationEffect[] {
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

    #readStoreWhereDue(nowMilliseconds: number): ConfigurationEffect[] {
        if (nowMilliseconds < this.#nextReadAtMilliseconds) {
            return [];
        }
        const watches = this.watchesStore(this.#presence?.liveInZone ?? []);
        const ago = this.#confirmedAgo(nowMilliseconds) ?? Infinity;
        if (!watches && ago < DOUBT_MILLISECONDS && this.#inForce !== undefined) {
            return [];
        }
        const interval = watches ? WATCHER_READ_INTERVAL_MILLISECONDS : DOUBT_READ_INTERVAL_MILLISECONDS;
        this.#nextReadAtMilliseconds = nowMilliseconds + interval * (1 + this.#options.random() / 2);
        return [{ type: "read-store" }];
    }

    #fetchNewer(nowMilliseconds: number): ConfigurationEffect[] {
        const host = this.#peers.chooseSource(this.#revision(), this.#rejected, nowMilliseconds);
        return host === undefined ? [] : [{ type: "fetch-from-peer", host }];
    }

    #judgeAdvertising(nowMilliseconds: number): ConfigurationEffect[] {
        const heard = this.#peers.heardWithin(RECENT_CONFIRMATION_MILLISECONDS, nowMilliseconds);
        const presence = this.#presence ?? { liveInZone: [], liveInRegion: heard + 1 };
        const cutOff = this.#judge.isCutOff(presence, this.#confirmedAgo(nowMilliseconds), nowMilliseconds);
        const allowed = this.#inForce !== undefined && !cutOff;
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
 * @param options Name of this host, how to read the text, and the random source.
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
