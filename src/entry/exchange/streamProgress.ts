/**
 * How far a stream has come, and at which software version it may go on.
 *
 * @module
 */
import { bindToAccount } from "../../accounts/index.js";
import { type UpstreamAnnouncement } from "../../fleet/index.js";
import { type Route } from "../../routes/index.js";
import { decideResumption, findOwnStream, isOnRecord, ownerMark, type Resumption } from "../../streamVersions/index.js";
import { type SentStream } from "../_sentStreams.js";
import { type LookUpOutcome, type StreamVersions } from "../streamVersions.js";
import { type CallerRequest, identifierOf, type RequestFacts } from "./requestFacts.js";

/** Options of {@linkcode StreamProgress}. */
export interface StreamProgressOptions {
    readonly request: Pick<CallerRequest, "account" | "requestId"> & {
        readonly route: Pick<Route, "kind" | "resumable">;
    };
    readonly facts: Pick<RequestFacts, "lastEventId" | "resumedRequest" | "service">;
    readonly versions: Pick<
        StreamVersions,
        "lookUp" | "mayBegin" | "recordBegun" | "recordSent" | "recordWhole" | "withdrawSent"
    >;
}

/** What a stream waits for before it may be sent: nothing, the version that began it, or nothing that could come. */
export type StreamStart = "ready" | "look-up" | "unknown" | "unavailable";

/** The last event that the caller has, and the version that all further events must come from. */
export class StreamProgress {
    readonly #options: StreamProgressOptions;
    readonly #isResumable: boolean;
    #lastEventId: string | undefined;
    #version: string | undefined;
    #lookUp: LookUpOutcome | undefined;
    #hasBegunHere = false;
    /** The version of the upstreams that may send the first event. */
    #sentVersion: string | undefined;
    #sent: SentStream | undefined;
    /** Attempts that may still send the first event. */
    #liveAttempts = 0;

    constructor(options: StreamProgressOptions) {
        const { facts, request } = options;
        this.#options = options;
        this.#isResumable = request.route.kind === "event-stream" && request.route.resumable;
        this.#lastEventId = facts.lastEventId;
    }

    /** The last event that the caller has; `undefined` where it has none. */
    get lastEventId(): string | undefined {
        return this.#lastEventId;
    }

    /** The version that has begun the stream; `undefined` where none has, or where it is not known. */
    get version(): string | undefined {
        return this.#version;
    }

    /** True once the stream is bound to the version that began it. */
    get isBegun(): boolean {
        return this.#version !== undefined;
    }

    /** The only version at which the stream may begin or go on; `undefined` where any may serve it. */
    get boundVersion(): string | undefined {
        return this.#version ?? this.#sentVersion;
    }

    /** Returns whether the stream may be sent, and binds one that goes on to its version. */
    start(): StreamStart {
        const resumption = this.#resumption();
        switch (resumption.type) {
            case "goes-on":
                this.#version = resumption.version;
                return "ready";
            case "unknown":
                return this.#lookUp?.type === "unavailable" ? "unavailable" : "unknown";
            case "begins":
                return "ready";
            case "look-up":
                return "look-up";
        }
    }

    /** Looks for the version of a stream that the caller resumes; `onEnd` is called once. */
    lookUp(onEnd: (outcome: LookUpOutcome) => void): void {
        const { facts: { resumedRequest, service = "" }, request: { account }, versions } = this.#options;
        const isForOwner = account !== undefined && resumedRequest !== undefined;
        let own: LookUpOutcome | undefined;
        let unbound: LookUpOutcome | undefined = isForOwner ? undefined : { type: "unknown" };
        const endOnceKnown = (): void => {
            if (this.#lookUp !== undefined || own === undefined || (unbound === undefined && !isOnRecord(own))) {
                return;
            }
            this.#lookUp = findOwnStream(own, unbound ?? { type: "unknown" }, account?.tag);
            onEnd(this.#lookUp);
        };
        if (isForOwner) {
            versions.lookUp({ service, requestId: resumedRequest, isForOwner }, outcome => {
                unbound = outcome;
                endOnceKnown();
            });
        }
        const requestId = resumedRequest === undefined
            ? undefined
            : bindToAccount(resumedRequest, account?.account.name);
        versions.lookUp({ service, requestId }, outcome => {
            own = outcome;
            endOnceKnown();
        });
    }

    /** Returns whether an upstream has the version that the stream needs. */
    allows({ service, softwareVersion }: UpstreamAnnouncement): boolean {
        if (!this.#isResumable) {
            return true;
        }
        const { boundVersion } = this;
        return boundVersion === undefined
            ? this.#options.versions.mayBegin(service, softwareVersion)
            : softwareVersion === boundVersion;
    }

    /** Records that the stream was sent to an upstream, whose version it is bound to while that may send events. */
    recordSent({ softwareVersion }: UpstreamAnnouncement): void {
        if (!this.#isResumable || this.#version !== undefined) {
            return;
        }
        this.#liveAttempts += 1;
        if (this.#sentVersion === undefined) {
            this.#sentVersion = softwareVersion;
            this.#sent = this.#options.versions.recordSent(identifierOf(this.#options.request), softwareVersion);
        }
    }

    /** Records that an attempt has failed; a stream that no other host was told of may then begin at any version. */
    recordAttemptFailed(): void {
        this.#liveAttempts = Math.max(0, this.#liveAttempts - 1);
        if (this.#liveAttempts === 0 && this.#sent?.isTold !== true) {
            this.#withdrawSent();
            this.#sentVersion = undefined;
        }
    }

    /** Records that events of an upstream have come; the first one binds the stream to the upstream's version. */
    recordEvents({ softwareVersion }: UpstreamAnnouncement, lastIdentifier: string | undefined): void {
        this.#lastEventId = lastIdentifier ?? this.#lastEventId;
        if (this.#isResumable && this.#version === undefined) {
            this.#version = softwareVersion;
            this.#hasBegunHere = true;
            this.#tellBegun(softwareVersion);
            this.#markOwner();
        }
    }

    /** Records that the stream has ended whole, so that nobody resumes it. */
    recordWhole(): void {
        if (this.#hasBegunHere) {
            const { request, versions } = this.#options;
            versions.recordWhole(identifierOf(request));
            if (request.account !== undefined) {
                versions.recordWhole(request.requestId);
            }
        }
    }

    #tellBegun(version: string): void {
        if (this.#sent?.isTold !== true) {
            this.#withdrawSent();
            this.#options.versions.recordBegun(identifierOf(this.#options.request), version);
        }
    }

    /** Records whose stream it is, so that no other account resumes it. */
    #markOwner(): void {
        const { request: { account, requestId }, versions } = this.#options;
        if (account !== undefined) {
            versions.recordBegun(requestId, ownerMark(account.tag));
        }
    }

    #withdrawSent(): void {
        if (this.#sent !== undefined) {
            this.#options.versions.withdrawSent(this.#sent);
            this.#sent = undefined;
        }
    }

    #resumption(): Resumption {
        const found = this.#lookUp?.type === "found" ? this.#lookUp : undefined;
        return decideResumption({
            hasEvents: this.#isResumable && this.#options.facts.lastEventId !== undefined,
            knownVersion: found?.version ?? this.#version,
            isLookedUp: this.#lookUp !== undefined,
        });
    }
}
