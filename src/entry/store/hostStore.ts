/**
 * The key-value service as one host sees it: wires the copy of its entries, the session, restores and reachability.
 *
 * @module
 */
import { type EngineDuties } from "../../duties/index.js";
import { type UpstreamView } from "../../fleet/index.js";
import { type HostDigest, type SharedState } from "../../generated/gossip.js";
import { type PeerTable } from "../../gossip/index.js";
import { runInBackground } from "../../observability/index.js";
import { type KeyValueEntry } from "../../platform/index.js";
import { type RouteTable } from "../../routes/index.js";
import { type Acts } from "../actQueue.js";
import { addressesOf, type HostContext } from "../hostContext.js";
import { GATHER_MILLISECONDS, renewalIntervalMilliseconds } from "../hostIntervals.js";
import { ConfigurationInForce } from "./configurationInForce.js";
import { FleetRecords, HOLDER_KEY_PREFIX } from "./fleetRecords.js";
import { HOST_KEY_PREFIX, HostSession } from "./hostSession.js";
import { ServiceReachability } from "./serviceReachability.js";
import { StateFromPeers } from "./stateFromPeers.js";
import { type EntryHandler, StoredEntries } from "./storedEntries.js";
import { type ChangeBatch, type ForwardedBatch, type MirrorEvent, StoreMirror } from "./storeMirror.js";
import { RESTORES_KEY, StoreRestores } from "./storeRestores.js";
import { StoreWatchPolicy } from "./storeWatchPolicy.js";
import { ViewQuestions } from "./viewQuestions.js";

/** Options of {@linkcode HostStore}. */
export interface HostStoreOptions {
    readonly context: HostContext;
    readonly acts: Pick<Acts, "afterReading">;
    readonly duties: EngineDuties;
    readonly peers: PeerTable;
    readonly view: UpstreamView;
    /** Handlers of the kinds of entries that other parts of the host read. */
    readonly handlers: readonly EntryHandler[];
    /** Another version of the configuration is in force. */
    readonly onConfiguration: (table: RouteTable) => void;
    /** A host was registered or its record was removed. */
    readonly onHostsChanged: () => void;
    readonly onSessionLost: () => void;
    /** The last answer of the service is no longer recent. */
    readonly onUnresponsive: () => void;
    /** Forwards what the service answered to a watch, or to a question that was due. */
    readonly onBatch: (batch: ForwardedBatch) => void;
    /** Returns the state address of a host of another cell with a newer configuration. */
    readonly newerCellAddress: (version: number) => string | undefined;
}

/** Keeps the copy of the service's entries current, and this host registered, until closed. */
export class HostStore {
    readonly configuration: ConfigurationInForce;
    readonly reachability: ServiceReachability;
    readonly #options: HostStoreOptions;
    readonly #records: FleetRecords;
    readonly #entries: StoredEntries;
    readonly #watchPolicy = new StoreWatchPolicy();
    readonly #mirror: StoreMirror;
    readonly #questions: ViewQuestions;
    readonly #restores: StoreRestores;
    readonly #session: HostSession;
    readonly #stateFromPeers: StateFromPeers;
    readonly #startedAtMilliseconds: number;
    #sessionBegun = false;
    /** A time at which the service had nothing beyond this host's view, by the steady clock. */
    #confirmedAtMilliseconds = Number.NEGATIVE_INFINITY;
    /** When the watch last delivered changes; before that, when this host began. */
    #batchAtMilliseconds: number;

    constructor(options: HostStoreOptions) {
        this.#options = options;
        this.#startedAtMilliseconds = options.context.readClock();
        this.#batchAtMilliseconds = this.#startedAtMilliseconds;
        const { context, onConfiguration, onUnresponsive } = options;
        this.configuration = new ConfigurationInForce({
            decodeConfiguration: value => context.protocol.decodeConfiguration(value),
            logger: context.logger,
            onChanged: onConfiguration,
        });
        this.reachability = new ServiceReachability({
            ...context,
            revision: () => this.#mirror.revision,
            onUnresponsive,
        });
        this.#records = this.#createRecords();
        this.#entries = new StoredEntries(this.#createHandlers());
        this.#mirror = new StoreMirror({
            ...context,
            batchMilliseconds: () => GATHER_MILLISECONDS,
            mustWatch: () => this.#mustWatch(),
            onBatch: batch => this.#forwardWatched(batch),
            onEvent: event => this.#handleMirrorEvent(event),
        });
        this.#questions = this.#createQuestions();
        this.#restores = this.#createRestores();
        this.#session = this.#createSession();
        this.#stateFromPeers = this.#createStateFromPeers();
    }

    /** Time since this host's view of the service was last confirmed. */
    get viewAgeMilliseconds(): number {
        return this.#questions.viewAgeMilliseconds;
    }

    /**
     * The longest time for which the service may have had changes that this host lacks. Unlike the view's age, it counts
     * the time in which this host did not run; infinite before the first listing.
     */
    get millisecondsSinceConfirmed(): number {
        return this.#now() - this.#confirmedAtMilliseconds;
    }

    /** The revision up to which the copy is complete; 0 before the first listing. */
    get revision(): number {
        return this.#mirror.revision ?? 0;
    }

    /** True while this host watches the service and gets answers. */
    get feeds(): boolean {
        return this.#mirror.isWatchAnswered && this.reachability.reachable;
    }

    /** True once the configuration and the upstreams are known. */
    get isReadable(): boolean {
        return this.configuration.table !== undefined && this.#stateFromPeers.isUpstreamsKnown;
    }

    start(): void {
        this.#mirror.start();
        this.#questions.start();
    }

    /** Stops the session without ending it, and closes the connections to the service. */
    async close(): Promise<void> {
        this.#session.abandon();
        this.#questions.close();
        this.reachability.close();
        await this.#mirror.close();
        await this.#options.context.keyValue.close();
    }

    /**
     * Ends the session. While the key-value service does not answer, a holder keeps its session, since a request to end
     * it might take effect later. Other hosts renew too rarely to know whether the service answers.
     */
    async endSession(): Promise<void> {
        if (this.reachability.hasRecentAnswer() || !this.#options.duties.mayHold) {
            await this.#session.close();
        }
    }

    /** Returns the revision of a key's latest entry; 0 where this host knows none. */
    entryOf(key: string): KeyValueEntry | undefined {
        return this.#entries.get(key);
    }

    revisionOf(key: string): number {
        return this.#entries.revisionOf(key);
    }

    /** Returns the state that peers request. */
    sharedState(): SharedState {
        return {
            revision: this.revision,
            entries: this.#entries.all().map(({ key, value, revision }) => ({ key, value, revision })),
        };
    }

    /** Applies an entry that a call returned and that is later than the mirror's. */
    applyLaterEntry(entry: KeyValueEntry): void {
        this.#entries.put(entry);
        this.recordLaterRevision(entry.revision);
    }

    /** Applies changes that another host forwarded. */
    applyBatch(batch: ForwardedBatch): void {
        this.#mirror.applyBatch(batch);
        this.#recordConfirmed(batch);
    }

    /** Reads and applies the changes that this host has not heard of; returns whether the service answered with them. */
    readChanges(): Promise<boolean> {
        return this.#readChanges(() => undefined);
    }

    /** Records a revision that a peer has reached. */
    recordLaterRevision(revision: number): void {
        this.#mirror.recordLaterRevision(revision, this.#now());
    }

    /** Records whether a peer watches the service, and begins or ends this host's watch accordingly. */
    recordWatchStatement(digest: HostDigest): void {
        this.#watchPolicy.recordStatement(digest, this.#listened());
        this.#mirror.adjustWatch();
    }

    /** Begins or ends the watch according to the statements of peers. */
    adjustWatch(): void {
        this.#mirror.adjustWatch();
    }

    /** Records that the wait after a restore is over, once it is, while the service answers. */
    recordSettledRestores(): void {
        if (!this.#options.context.isLeaving() && this.reachability.hasRecentAnswer()) {
            runInBackground(this.#options.context.logger, "settled restore", () => this.#restores.recordSettled());
        }
    }

    /** Requests the shared state from peers where some is missing. */
    catchUp(): void {
        runInBackground(this.#options.context.logger, "state from peers", () => this.#stateFromPeers.catchUp());
    }

    #now(): number {
        return this.#options.context.readClock();
    }

    /** Time for which this host could hear others, by which their silence is measured. */
    #listened(): number {
        return this.#options.context.reads.listenedMilliseconds(this.#now());
    }

    /** Reads changes, and passes on what was read with its age. */
    async #readChanges(forward: (batch: ForwardedBatch) => void): Promise<boolean> {
        const askedAt = this.#now();
        const ageMilliseconds = (): number => Math.ceil(this.#now() - askedAt);
        const isAnswered = await this.#mirror.readChanges(batch =>
            forward({ ...batch, ageMilliseconds: ageMilliseconds() })
        );
        if (isAnswered) {
            this.#questions.recordConfirmed(ageMilliseconds());
            this.#recordConfirmedAt(askedAt);
        }
        return isAnswered;
    }

    /** Asks for changes that no watch has delivered, and tells the cell of the answer also where there are none. */
    #askForChanges(): Promise<boolean> {
        const { context, onBatch } = this.#options;
        const { viewAgeMilliseconds } = this;
        return this.#readChanges(batch => {
            if (batch.changes.length > 0) {
                context.logger.info("changes found by asking", {
                    changes: batch.changes.length,
                    revision: batch.revision,
                    viewAgeMilliseconds: Math.round(viewAgeMilliseconds),
                });
            }
            onBatch(batch);
        });
    }

    /** Forwards what the watch delivered. The answer is as old as the call at most, which came after the batch before. */
    #forwardWatched(batch: ChangeBatch): void {
        const now = this.#now();
        const ageMilliseconds = Math.ceil(now - this.#batchAtMilliseconds);
        this.#batchAtMilliseconds = now;
        const forwarded = { ...batch, ageMilliseconds };
        this.#recordConfirmed(forwarded);
        this.#options.onBatch(forwarded);
    }

    /** Records that the view was current when the service answered, unless this host lacks some of the changes. */
    #recordConfirmed({ ageMilliseconds, revision }: ForwardedBatch): void {
        if (ageMilliseconds !== undefined && this.revision >= revision) {
            this.#questions.recordConfirmed(ageMilliseconds);
            // A datagram may have waited since this host last read everything that had arrived.
            const { readUntilMilliseconds } = this.#options.context.reads;
            this.#recordConfirmedAt(Math.min(this.#now(), readUntilMilliseconds) - ageMilliseconds);
        }
    }

    #recordConfirmedAt(atMilliseconds: number): void {
        this.#confirmedAtMilliseconds = Math.max(this.#confirmedAtMilliseconds, atMilliseconds);
    }

    #createQuestions(): ViewQuestions {
        const { acts, context, peers } = this.#options;
        return new ViewQuestions({
            acts,
            logger: context.logger,
            listened: () => this.#listened(),
            turn: () => Math.max(0, peers.membersWithRecentDigest(this.#now()).indexOf(context.host)),
            mayAsk: () => this.#mirror.revision !== undefined && this.reachability.reachable,
            ask: () => this.#askForChanges(),
        });
    }

    #createRecords(): FleetRecords {
        const { context, duties, onHostsChanged, peers } = this.#options;
        return new FleetRecords({
            ...context,
            duties,
            peers,
            onHostsChanged,
            onOwnRecordRemoved: () => {
                if (!context.isLeaving()) {
                    this.#session.handleRecordRemoved();
                }
            },
        });
    }

    /** Creates a handler for each kind of entry. */
    #createHandlers(): EntryHandler[] {
        return [
            {
                prefix: this.#options.context.protocol.keys.configuration,
                onPut: (_name, entry) => this.configuration.apply(entry),
                isOutdated: (entry, previous) => this.configuration.isOutdated(entry, previous),
            },
            {
                prefix: RESTORES_KEY,
                onPut: (_name, entry) => this.#restores.applySettled(entry),
                // A record that a restore has lost is removed, so that it can be written anew.
                onRemoved: () => undefined,
            },
            ...this.#options.handlers,
            {
                prefix: HOST_KEY_PREFIX,
                onPut: (_name, entry) => this.#records.applyRegistration(entry),
                onRemoved: host => this.#records.removeRegistration(host),
            },
            {
                prefix: HOLDER_KEY_PREFIX,
                onPut: (engine, entry) => this.#records.applyHolder(engine, entry),
                onRemoved: engine => this.#records.removeHolder(engine),
            },
        ];
    }

    #createRestores(): StoreRestores {
        const { context, duties, view } = this.#options;
        return new StoreRestores({
            ...context,
            duties,
            view,
            settledEntry: () => this.#entries.get(RESTORES_KEY),
            onRestored: reason => {
                this.#session.restart(reason);
                this.#mirror.relist(reason);
            },
            onLaterEntry: entry => this.applyLaterEntry(entry),
        });
    }

    #createSession(): HostSession {
        const { context, duties, onSessionLost } = this.#options;
        const { host } = context;
        return new HostSession({
            ...context,
            addresses: addressesOf(context.settings()),
            renewalIntervalMilliseconds: () => renewalIntervalMilliseconds(duties.mayHold),
            hostRecordRevision: () => this.revisionOf(`${HOST_KEY_PREFIX}${host}`),
            onConfirmed: (session, sentAt) => {
                duties.recordRenewal(session, sentAt);
                duties.setSession(host, session, this.#now());
            },
            onLost: () => {
                onSessionLost();
                duties.setSession(host, undefined, this.#now());
            },
            onCallOutcome: succeeded => {
                if (succeeded && !this.reachability.reachable) {
                    this.#mirror.restartWatch("the service answers again");
                }
                this.#recordOutcome(succeeded);
            },
            onCallTimeout: () => this.#mirror.restartWatch("a call got no answer"),
        });
    }

    #createStateFromPeers(): StateFromPeers {
        const { context, newerCellAddress, peers } = this.#options;
        return new StateFromPeers({
            keys: context.protocol.keys,
            configuration: this.configuration,
            entries: this.#entries,
            logger: context.logger,
            metrics: context.metrics,
            random: context.random,
            readClock: context.readClock,
            ownAddress: () => addressesOf(context.settings()).state,
            seeds: () => context.settings().seeds,
            isServiceReachable: () => this.reachability.reachable,
            newerPeerAddress: version => peers.withNewerConfiguration(version, this.#now())?.addresses.state,
            newerCellAddress,
        });
    }

    #mustWatch(): boolean {
        const { context, peers } = this.#options;
        const now = this.#now();
        const members = peers.membersWithRecentDigest(now);
        return this.#watchPolicy.mustWatch({ host: context.host, members, revision: this.revision }, this.#listened());
    }

    #handleMirrorEvent(event: MirrorEvent): void {
        switch (event.type) {
            case "contact":
                this.#recordOutcome(event.succeeded);
                break;
            case "listed":
                this.#applyListing(event.entries);
                break;
            case "put":
                this.#entries.put(event.entry);
                break;
            case "removed":
                this.#entries.remove(event.key);
        }
    }

    #recordOutcome(succeeded: boolean): void {
        if (!succeeded) {
            this.#options.view.recordServiceFailure(this.#now());
        }
        this.reachability.recordOutcome(succeeded);
    }

    #applyListing(entries: readonly KeyValueEntry[]): void {
        this.#restores.applyListing(() => this.#entries.replaceAll(entries));
        this.#stateFromPeers.recordListed();
        this.#recordConfirmedAt(this.#startedAtMilliseconds);
        this.#options.context.logger.info("key-value service listed", {
            entries: entries.length,
            revision: this.#mirror.revision,
            configurationVersion: this.configuration.table?.version,
        });
        if (!this.#sessionBegun) {
            this.#sessionBegun = true;
            this.#restores.handleStart();
            this.#session.start();
        }
    }
}
