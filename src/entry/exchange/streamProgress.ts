/**
 * How far a stream has come, and at which software version it may go on.
 *
 * @module
 */
import { type UpstreamAnnouncement } from "../../fleet/index.js";
import { decideResumption, type Resumption } from "../../streamVersions/index.js";
import { type LookUpOutcome, type StreamVersions } from "../streamVersions.js";
import { type CallerRequest, type RequestFacts } from "./requestFacts.js";

/** Options of {@linkcode StreamProgress}. */
export interface StreamProgressOptions {
    readonly request: Pick<CallerRequest, "requestId" | "route">;
    readonly facts: Pick<RequestFacts, "lastEventId" | "resumedRequest" | "service">;
    readonly versions: StreamVersions;
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
        const { facts, versions } = this.#options;
        versions.lookUp({ service: facts.service ?? "", requestId: facts.resumedRequest }, outcome => {
            this.#lookUp = outcome;
            onEnd(outcome);
        });
    }

    /** Returns whether an upstream has the version that the stream needs. */
    allows({ service, softwareVersion }: UpstreamAnnouncement): boolean {
        if (!this.#isResumable) {
            return true;
        }
        return this.#version === undefined
            ? this.#options.versions.mayBegin(service, softwareVersion)
            : softwareVersion === this.#version;
    }

    /** Records that events of an upstream have come; the first one binds the stream to the upstream's version. */
    recordEvents({ softwareVersion }: UpstreamAnnouncement, lastIdentifier: string | undefined): void {
        this.#lastEventId = lastIdentifier ?? this.#lastEventId;
        if (this.#isResumable && this.#version === undefined) {
            this.#version = softwareVersion;
            this.#options.versions.recordBegun(this.#options.request.requestId, softwareVersion);
        }
    }

    /** Records that the stream has ended whole, so that nobody resumes it. */
    recordWhole(): void {
        if (this.#options.facts.lastEventId === undefined && this.#version !== undefined) {
            this.#options.versions.recordWhole(this.#options.request.requestId);
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
