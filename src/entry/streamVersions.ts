/**
 * Finds the software version at which a stream may go on, and tells other hosts of the streams that begin here.
 *
 * @module
 */
import { type Result } from "ts-results-es";
import {
    type BegunStream,
    streamJournalRecordSchema,
    type StreamQuestion,
    type StreamsBegun,
    streamVersionRecordSchema,
} from "../generated/gossip.js";
import { type PeerTable } from "../gossip/index.js";
import { runInBackground } from "../observability/index.js";
import { type KeyValueEntry, type PlatformError } from "../platform/index.js";
import { parseDocument } from "../platform/parseDocument.js";
import { parseJson } from "../platform/parseJson.js";
import {
    BegunStreams,
    identifyStream,
    readJournalEntry,
    ServiceVersions,
    StreamKeepers,
} from "../streamVersions/index.js";
import { afterPolling } from "../transport/index.js";
import { type SentStream, SentStreams } from "./_sentStreams.js";
import { StreamJournalWriter } from "./_streamJournalWriter.js";
import { VersionRecordWriter, type VersionRecordWriterOptions, VERSIONS_KEY } from "./_versionRecordWriter.js";

/** Prefix of the keys of the record and of the journal. */
export const STREAM_KEY_PREFIX = "streams/";

const VERSIONS_NAME = VERSIONS_KEY.slice(STREAM_KEY_PREFIX.length);

/** Streams per message; a message stays below the size of a datagram. */
const STREAMS_PER_MESSAGE = 200;

/** Changes of upstreams within this time are looked at together. */
const CHECK_DELAY_MILLISECONDS = 50;

/** The choice of keepers is computed again after this time. */
const KEEPERS_LIFETIME_MILLISECONDS = 300;

/** A question is sent again after these times, since datagrams may be lost. */
const QUESTION_RETRIES_MILLISECONDS = [30, 120];

/** Other hosts answer a question within this time, busy ones included, if they know the stream. */
const QUESTION_MILLISECONDS = 300;

/** The key-value service is read where other hosts have not answered by then, while several versions serve. */
const READ_DELAY_MILLISECONDS = 25;

/** Time between two reads of the key-value service, which several look-ups share. */
const READ_INTERVAL_MILLISECONDS = 40;

/** The hosts of the own cell answer in this time who owns a stream, unless they are busy. */
const OWNER_QUESTION_MILLISECONDS = 60;

/** A look-up ends after this time, whatever is known. */
const LOOK_UP_MILLISECONDS = 600;

/** How the version of a stream was found, or why it was not. */
export type LookUpOutcome =
    | { readonly type: "found"; readonly version: string; readonly source: "host" | "peer" | "store" | "only-version"; }
    /** It may have begun at any of several versions. */
    | { readonly type: "unknown"; }
    /** The key-value service did not answer, so that even the versions in service are not certain. */
    | { readonly type: "unavailable"; };

/** A stream that a caller resumes. */
export interface ResumedStream {
    readonly service: string;
    /** The caller's request that brought the first event; `undefined` where the caller does not name it. */
    readonly requestId: string | undefined;
    /** True where the look-up is for the mark of the stream's owner, in whose place no version in service stands. */
    readonly isForOwner?: boolean;
}

interface LookUp {
    readonly service: string;
    readonly stream: string | undefined;
    readonly isForOwner: boolean;
    readonly onEnd: (outcome: LookUpOutcome) => void;
    /** Set once the key-value service was read after the look-up began; true where it answered. */
    isRead: boolean | undefined;
    isAsked: boolean;
}

/** Options of {@linkcode StreamVersions}. */
export interface StreamVersionsOptions extends Omit<VersionRecordWriterOptions, "versions" | "liveHosts"> {
    readonly peers: PeerTable;
    readonly send: (hosts: readonly string[], message: StreamsBegun | StreamQuestion) => void;
    /** Streams may begin at other versions than before. */
    readonly onChanged: () => void;
}

/** The versions of streams, as far as this host knows or can find out. */
export class StreamVersions {
    readonly #options: StreamVersionsOptions;
    readonly #versions = new ServiceVersions();
    /** Streams that began here and have not ended whole, and those that other hosts told of. */
    readonly #streams = new BegunStreams();
    readonly #recordWriter: VersionRecordWriter;
    readonly #journal: StreamJournalWriter;
    readonly #sentStreams = new SentStreams(streams => this.#handleSentStreams(streams));
    readonly #lookUps = new Set<LookUp>();
    #keepers: { readonly keepers: StreamKeepers; readonly atMilliseconds: number; } | undefined;
    #isReading = false;
    #checkTimer: NodeJS.Timeout | undefined;
    #readTimer: NodeJS.Timeout | undefined;
    readonly #timers = new Set<NodeJS.Timeout>();

    constructor(options: StreamVersionsOptions) {
        this.#options = options;
        this.#recordWriter = new VersionRecordWriter({
            ...options,
            versions: this.#versions,
            liveHosts: () => this.#liveHosts(),
        });
        this.#journal = new StreamJournalWriter(options);
    }

    close(): void {
        this.#recordWriter.close();
        this.#journal.close();
        this.#sentStreams.close();
        clearTimeout(this.#checkTimer);
        clearTimeout(this.#readTimer);
        this.#timers.forEach(timer => clearTimeout(timer));
    }

    /**
     * Puts versions on record that upstreams have announced, and removes those long without an upstream; once for changes
     * that come together, since that looks at all upstreams.
     */
    check(): void {
        this.#checkTimer ??= setTimeout(() => {
            this.#checkTimer = undefined;
            this.#recordWriter.check();
        }, CHECK_DELAY_MILLISECONDS);
    }

    /** Applies an entry of the key-value service; the name is its key without the prefix. */
    applyEntry(name: string, { value }: KeyValueEntry): void {
        if (name === VERSIONS_NAME) {
            this.#applyRecord(value);
            return;
        }
        const journal = parseDocument(streamJournalRecordSchema, parseJson(value)).data;
        readJournalEntry(journal?.streams ?? {}).forEach(stream => this.#remember(stream));
    }

    handleRemoved(name: string): void {
        if (name === VERSIONS_NAME) {
            this.#versions.handleRemoved();
        }
    }

    /** Returns whether a stream may begin at a version. */
    mayBegin(service: string, version: string): boolean {
        return this.#versions.mayBegin(service, version);
    }

    /**
     * Records that a stream was sent to an upstream of a version, so that it is on record once its first event comes;
     * `undefined` where one version alone is on record.
     */
    recordSent(requestId: string, version: string): SentStream | undefined {
        return this.#versions.hasSeveral() ? this.#sentStreams.add(requestId, version) : undefined;
    }

    /** Forgets that a stream was sent, where nobody was told. */
    withdrawSent(sent: SentStream): void {
        this.#sentStreams.withdraw(sent);
    }

    /** Records that a version has sent the first event of a stream of which nobody was told. */
    recordBegun(requestId: string, version: string): void {
        const begun = { stream: identifyStream(requestId), version };
        this.#remember(begun);
        if (this.#versions.hasSeveral()) {
            this.#tellKeepers([begun]);
        }
    }

    /** Forgets a stream that has ended whole. */
    recordWhole(requestId: string): void {
        if (!this.#versions.hasSeveral()) {
            this.#streams.forget(identifyStream(requestId));
        }
    }

    /** Finds the version of a stream; calls back once, perhaps before this function returns. */
    lookUp({ isForOwner = false, requestId, service }: ResumedStream, onEnd: (outcome: LookUpOutcome) => void): void {
        const stream = requestId === undefined ? undefined : identifyStream(requestId);
        const lookUp: LookUp = {
            service,
            stream,
            isForOwner,
            onEnd,
            isRead: undefined,
            isAsked: stream === undefined,
        };
        this.#lookUps.add(lookUp);
        const known = this.#versionOf(lookUp);
        if (known !== undefined) {
            this.#end(lookUp, { type: "found", version: known, source: "host" });
            return;
        }
        if (stream !== undefined) {
            this.#ask(stream);
            for (const milliseconds of QUESTION_RETRIES_MILLISECONDS) {
                this.#after(milliseconds, () => this.#lookUps.has(lookUp) && this.#ask(stream));
            }
        }
        this.#after(isForOwner ? OWNER_QUESTION_MILLISECONDS : QUESTION_MILLISECONDS, () => {
            lookUp.isAsked = true;
            this.#endIfDone(lookUp);
        });
        this.#after(LOOK_UP_MILLISECONDS, () => this.#end(lookUp, { type: "unavailable" }));
        const readDelay = this.#versions.hasSeveral() && stream !== undefined ? READ_DELAY_MILLISECONDS : 0;
        this.#scheduleRead(readDelay);
    }

    /** Handles a message of another host. */
    receive(message: StreamsBegun | StreamQuestion): void {
        if (message.type === "stream-question") {
            this.#answer(message);
            return;
        }
        for (const begun of message.streams) {
            this.#remember(begun);
            this.#recordAsFirstKeeper(begun);
        }
        this.#endKnown("peer");
    }

    #applyRecord(value: string): void {
        const record = parseDocument(streamVersionRecordSchema, parseJson(value)).data;
        if (record === undefined) {
            this.#options.logger.warn("stream versions not readable", {});
            return;
        }
        const hadSeveral = this.#versions.hasSeveral();
        this.#versions.apply(record);
        if (!hadSeveral && this.#versions.hasSeveral()) {
            this.#tellKeepers(this.#streams.all(this.#now()));
        }
        this.#options.onChanged();
        this.check();
    }

    #handleSentStreams(sent: readonly SentStream[]): void {
        const streams = sent.map(({ stream, version }) => ({ stream, version }));
        streams.forEach(stream => this.#remember(stream));
        this.#tellKeepers(streams);
    }

    #remember(begun: BegunStream): void {
        this.#streams.remember(begun, this.#now());
    }

    #versionOf({ stream }: LookUp): string | undefined {
        return stream === undefined ? undefined : this.#streams.versionOf(stream, this.#now());
    }

    #liveHosts(): readonly string[] {
        const { host, peers } = this.#options;
        const others = peers.live(this.#now()).filter(({ leaving }) => !leaving);
        return [host, ...others.map(peer => peer.host)];
    }

    #currentKeepers(): StreamKeepers {
        const now = this.#now();
        if (this.#keepers === undefined || now - this.#keepers.atMilliseconds > KEEPERS_LIFETIME_MILLISECONDS) {
            this.#keepers = { keepers: new StreamKeepers(this.#liveHosts()), atMilliseconds: now };
        }
        return this.#keepers.keepers;
    }

    /** Writes a stream into the journal where this host is its first keeper. */
    #recordAsFirstKeeper(begun: BegunStream): void {
        if (this.#currentKeepers().keepersOf(begun.stream)[0] === this.#options.host) {
            this.#journal.add(begun, this.#currentKeepers().groupCount);
        }
    }

    /** Tells the keepers of streams, of which this host may be one. */
    #tellKeepers(streams: readonly BegunStream[]): void {
        const { host, send } = this.#options;
        const byKeeper = new Map<string, BegunStream[]>();
        for (const begun of streams) {
            this.#recordAsFirstKeeper(begun);
            for (const keeper of this.#currentKeepers().keepersOf(begun.stream).filter(each => each !== host)) {
                const kept = byKeeper.get(keeper) ?? [];
                byKeeper.set(keeper, kept);
                kept.push(begun);
            }
        }
        for (const [keeper, kept] of byKeeper) {
            for (let start = 0; start < kept.length; start += STREAMS_PER_MESSAGE) {
                const part = kept.slice(start, start + STREAMS_PER_MESSAGE);
                send([keeper], { type: "streams-begun", host, streams: part });
            }
        }
    }

    /** Asks the hosts that may keep a stream, and those of the own cell, of which one may have begun it. */
    #ask(stream: string): void {
        const { host, peers, send } = this.#options;
        const cell = peers.cellPeers().map(peer => peer.host);
        const asked = new Set([...cell, ...this.#currentKeepers().candidatesFor(stream)]);
        asked.delete(host);
        send([...asked], { type: "stream-question", host, stream });
    }

    #answer({ host: asking, stream }: StreamQuestion): void {
        const { host, send } = this.#options;
        const version = this.#streams.versionOf(stream, this.#now());
        if (version !== undefined) {
            send([asking], { type: "streams-begun", host, streams: [{ stream, version }] });
        }
    }

    #scheduleRead(milliseconds: number): void {
        this.#readTimer ??= setTimeout(
            () => runInBackground(this.#options.logger, "look-up of streams", () => this.#read()),
            milliseconds,
        );
    }

    /** Reads the record and the journal, for the look-ups that have begun so far. */
    async #read(): Promise<void> {
        this.#readTimer = undefined;
        const reading = [...this.#lookUps].filter(({ isRead }) => isRead === undefined);
        if (reading.length === 0 || this.#isReading) {
            return;
        }
        const listed = await this.#listStreams();
        if (listed.isOk()) {
            listed.value.forEach(entry => this.#options.onLaterEntry(entry));
        }
        for (const lookUp of reading) {
            lookUp.isRead = listed.isOk();
        }
        this.#endKnown("store");
        reading.forEach(lookUp => this.#endIfDone(lookUp));
        this.#scheduleRead(READ_INTERVAL_MILLISECONDS);
    }

    async #listStreams(): Promise<Result<readonly KeyValueEntry[], PlatformError>> {
        this.#isReading = true;
        try {
            return await this.#options.keyValue.list(STREAM_KEY_PREFIX);
        }
        finally {
            this.#isReading = false;
        }
    }

    #endKnown(source: "peer" | "store"): void {
        for (const lookUp of [...this.#lookUps]) {
            const version = this.#versionOf(lookUp);
            if (version !== undefined) {
                this.#end(lookUp, { type: "found", version, source });
            }
        }
    }

    #endIfDone(lookUp: LookUp): void {
        const { isAsked, isForOwner, isRead, service } = lookUp;
        const restores = this.#options.keyValue.restoreCount?.() ?? 0;
        const version = isRead === true && !isForOwner ? this.#versions.onlyVersion(service, restores) : undefined;
        if (version !== undefined) {
            this.#end(lookUp, { type: "found", version, source: "only-version" });
        }
        else if (isAsked && isRead !== undefined) {
            this.#end(lookUp, { type: isRead ? "unknown" : "unavailable" });
        }
    }

    #end(lookUp: LookUp, outcome: LookUpOutcome): void {
        if (this.#lookUps.delete(lookUp)) {
            if (!lookUp.isForOwner) {
                this.#options.metrics.count("resumptions", {
                    outcome: outcome.type === "found" ? outcome.source : outcome.type,
                });
            }
            lookUp.onEnd(outcome);
        }
    }

    #after(milliseconds: number, step: () => void): void {
        const timer = setTimeout(() => {
            this.#timers.delete(timer);
            afterPolling(step);
        }, milliseconds);
        this.#timers.add(timer);
    }

    #now(): number {
        return this.#options.readClock();
    }
}
