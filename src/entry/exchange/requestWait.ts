/**
 * What one request waits for while it cannot be sent.
 *
 * @module
 */
import { type UpstreamAnnouncement } from "../../fleet/index.js";
import { type DispatchTimer } from "./dispatchTimer.js";
import { type FailureReason } from "./failureReason.js";
import { type RequestParts } from "./requestParts.js";
import { type WaitTime } from "./waitTime.js";

/** Options of {@linkcode RequestWait}. */
export interface RequestWaitOptions {
    readonly parts: RequestParts;
    readonly time: WaitTime;
    readonly dispatchTimer: DispatchTimer;
    /** Answers that the request has not run, and when the caller should retry. */
    readonly refuse: (reason: FailureReason, expectedMilliseconds?: number) => void;
    /** The request waits until an engine has prefilled the prompts that it was sent before. */
    readonly onPrefillWait: () => void;
}

/** Lets a request wait, or refuses it where what it waits for is not expected in time. */
export class RequestWait {
    readonly #options: RequestWaitOptions;
    readonly #parts: RequestParts;
    /** True while the request waits for a copy of its model that another engine is loading. */
    #waitsForCopy = false;

    constructor(options: RequestWaitOptions) {
        this.#options = options;
        this.#parts = options.parts;
    }

    /** Waits while a request with a suspected attribute in common is tried; refuses where that takes too long. */
    waitForTrial(milliseconds: number): void {
        this.#waitUntil("crash-suspected", milliseconds);
    }

    /** Waits for a permit of one of some upstreams; leaves permits to other requests where there are none. */
    updatePermitWait(limited: readonly UpstreamAnnouncement[]): void {
        const { permitWait } = this.#parts;
        if (limited.length > 0) {
            permitWait.begin(limited.map(({ id }) => id), this.#options.time.remainingMilliseconds);
        }
        else {
            permitWait.cancel();
        }
    }

    waitForAdapter(loadable: readonly UpstreamAnnouncement[]): void {
        if (this.waitOrRefuse("adapter-missing")) {
            this.#parts.selection.requestAdapter(loadable);
        }
    }

    /**
     * Waits for a permit, for the adapter on another engine or for a copy that is being loaded, whichever comes first;
     * refuses at once where none is expected in time.
     */
    waitForPermit(loadable: readonly UpstreamAnnouncement[]): void {
        const { permitWait, place, selection } = this.#parts;
        const elsewhere = selection.withoutLimit(loadable);
        const expectedMilliseconds = permitWait.expectedMilliseconds ?? place.expectedCapacityMilliseconds;
        if (elsewhere.length > 0) {
            this.waitForAdapter(elsewhere);
        }
        else if (permitWait.isTooLate(this.#options.time.remainingMilliseconds) && !this.#isCopyArriving()) {
            this.#options.refuse("upstream-limit", expectedMilliseconds);
        }
        else {
            this.waitOrRefuse("upstream-limit", expectedMilliseconds);
        }
    }

    /** Waits until one of some upstreams that tolerate few rejections can be sent the request. */
    waitForSlot(upstreams: readonly UpstreamAnnouncement[]): void {
        if (this.waitForCapacity("rejection-bounds")) {
            this.#parts.selection.requestSlot(upstreams, this.#parts.request.arrivedAtMilliseconds);
        }
    }

    /** Waits until the shortest requested pause ends, or refuses at once if that exceeds the remaining wait time. */
    waitForPause(pauseMilliseconds: number): void {
        this.#waitUntil("upstreams-pause", pauseMilliseconds);
    }

    /** Waits for engines to reduce their prefill backlog; the forwarder wakes the waiting requests in order. */
    waitForPrefill(): void {
        if (this.waitForCapacity("prompts-unread")) {
            this.#options.onPrefillWait();
        }
    }

    /** Waits for a model that is expected in time; otherwise refuses, so that the caller retries once it is loaded. */
    waitForModel(): void {
        this.requestCopyOfVersion();
        const expectedMilliseconds = this.#parts.selection.expectedModelMilliseconds();
        const remainingMilliseconds = this.#options.time.begin("model-missing");
        if (expectedMilliseconds > remainingMilliseconds) {
            this.#options.refuse("model-missing", expectedMilliseconds);
            return;
        }
        this.#options.dispatchTimer.schedule();
    }

    /**
     * Waits for upstreams that have no room now; refuses at once where the request would not be sent in time. Returns
     * whether it waits.
     */
    waitForCapacity(reason: FailureReason): boolean {
        const remainingMilliseconds = this.#options.time.begin(reason);
        const refusal = remainingMilliseconds < 0 ? undefined : this.#parts.place.decideRefusal(remainingMilliseconds);
        if (refusal === "too-little-time") {
            this.#options.refuse("out-of-time");
            return false;
        }
        if (refusal === "expected-wait") {
            this.#options.refuse(reason, this.#parts.place.expectedCapacityMilliseconds);
            return false;
        }
        return this.waitOrRefuse(reason);
    }

    /** Refuses a request that exceeded its maximum wait, else keeps it waiting; returns whether it waits. */
    waitOrRefuse(reason: FailureReason, expectedMilliseconds?: number): boolean {
        const remainingMilliseconds = this.#options.time.begin(reason);
        if (remainingMilliseconds < 0) {
            this.#options.refuse(reason, expectedMilliseconds ?? this.#parts.place.expectedCapacityMilliseconds);
            return false;
        }
        this.#options.dispatchTimer.schedule(remainingMilliseconds);
        return true;
    }

    /** Waits for some time, or refuses at once if that exceeds the remaining wait time. */
    #waitUntil(reason: FailureReason, milliseconds: number): void {
        const remainingMilliseconds = this.#options.time.begin(reason);
        if (milliseconds > remainingMilliseconds) {
            this.#options.refuse(reason, milliseconds);
            return;
        }
        this.#options.dispatchTimer.schedule(milliseconds);
    }

    /**
     * Returns whether another engine is loading the model, and should serve it within the request's maximum wait. The
     * latter is decided once: a load that takes longer than expected may end at any moment.
     */
    #isCopyArriving(): boolean {
        const arrivalMilliseconds = this.#parts.selection.arrivingCopyMilliseconds() ?? Number.POSITIVE_INFINITY;
        const isInTime = this.#waitsForCopy || arrivalMilliseconds <= this.#options.time.remainingMilliseconds;
        this.#waitsForCopy = Number.isFinite(arrivalMilliseconds) && isInTime;
        return this.#waitsForCopy;
    }

    /** Asks that a copy of the model be at the version of a stream that goes on; others are of no use to it. */
    requestCopyOfVersion(): void {
        const { context, facts: { model, service }, progress: { boundVersion: version } } = this.#parts;
        if (model !== undefined && service !== undefined && version !== undefined) {
            context.requestVersionCopy({ service, model, version });
        }
    }
}
