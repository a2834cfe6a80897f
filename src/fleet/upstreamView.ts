/**
 * Decides which upstreams may receive requests, by their announcements in the key-value service.
 *
 * @module
 */
import { type UpstreamAnnouncement } from "./types.js";

/** Within this time after the service recovers, all live upstreams have announced themselves again. */
const REANNOUNCEMENT_MILLISECONDS = 2_000;

/** For this long after a failed call to the service, a removed announcement may still belong to a live upstream. */
const SERVICE_FAILURE_WINDOW_MILLISECONDS = 1_500;

/** Limit of remembered incarnations that reported in an answer that they leave; the oldest are evicted. */
const MAXIMUM_LEAVING_INCARNATIONS = 4_096;

/** Limit of remembered announcements that were removed; the oldest are evicted. */
const MAXIMUM_REMOVED_ANNOUNCEMENTS = 4_096;

/** Why an upstream is no longer usable; after the first two its process keeps running for a while. */
export type LeavingReason = "announced" | "answered" | "removed" | "missing-after-outage" | "replaced";

/** One incarnation of an upstream's process. */
export type UpstreamIncarnation = Pick<UpstreamAnnouncement, "id" | "startedAtMilliseconds">;

/** A change of the view. */
export type UpstreamChange =
    | { readonly type: "joined"; readonly upstream: UpstreamAnnouncement; }
    | { readonly type: "left"; readonly upstream: UpstreamAnnouncement; readonly reason: LeavingReason; }
    /** The announcement is missing, perhaps only through an outage of the service; meanwhile the upstream is usable. */
    | { readonly type: "in-doubt"; readonly upstream: UpstreamAnnouncement; }
    | { readonly type: "updated"; readonly upstream: UpstreamAnnouncement; };

interface KnownUpstream {
    readonly announcement: UpstreamAnnouncement;
    readonly usable: boolean;
    /** True while the announcement is missing and the upstream may still be live. */
    readonly missing: boolean;
}

function startTimeOf(incarnation: UpstreamIncarnation): number {
    return incarnation.startedAtMilliseconds ?? 0;
}

/** Returns whether an incarnation started before another one of the same upstream. */
export function isOlderIncarnation(candidate: UpstreamIncarnation, known: UpstreamIncarnation): boolean {
    return startTimeOf(candidate) < startTimeOf(known);
}

/** Returns whether an announcement was written late: after a newer one, or after its incarnation was replaced. */
function isOutdated(candidate: UpstreamAnnouncement, known: UpstreamAnnouncement): boolean {
    const hasLowerNumber = isSameIncarnation(candidate, known)
        && candidate.announcementNumber < known.announcementNumber;
    return hasLowerNumber || isOlderIncarnation(candidate, known);
}

/** Returns whether the same requests can go to an upstream after an announcement as before it. */
function canReceiveSame(before: UpstreamAnnouncement, after: UpstreamAnnouncement): boolean {
    return isSameIncarnation(before, after) && before.service === after.service
        && before.softwareVersion === after.softwareVersion && before.slots === after.slots;
}

/** Removes the entries that were set first, down to a maximum size. */
function evictOldest(entries: Map<string, unknown>, maximumSize: number): void {
    for (const key of entries.keys()) {
        if (entries.size <= maximumSize) {
            return;
        }
        entries.delete(key);
    }
}

/** Returns whether two announcements come from the same incarnation. */
export function isSameIncarnation(left: UpstreamIncarnation, right: UpstreamIncarnation): boolean {
    return left.id === right.id && left.startedAtMilliseconds === right.startedAtMilliseconds;
}

/**
 * Tracks the known upstreams. One that announces, or reports in an answer, that it leaves is not usable; no later
 * announcement of the same incarnation revokes a report in an answer. If an announcement is removed around an outage of
 * the key-value service, the upstream stays usable, but in doubt, until the service has worked again for long enough.
 *
 * @example
 * ```ts
 * const view = new UpstreamView();
 * view.put(announcement);
 * view.recordLeaving(announcement);
 * view.usable(announcement.service); // no longer contains the upstream
 * ```
 */
export class UpstreamView {
    readonly #known = new Map<string, KnownUpstream>();
    /** The usable upstreams of each service that was asked for since the last change. */
    readonly #usable = new Map<string, readonly UpstreamAnnouncement[]>();
    #usableChanges = 0;
    /** The latest incarnation of each upstream that reported in an answer that it leaves; most recent report last. */
    readonly #leavingIncarnations = new Map<string, UpstreamIncarnation>();
    /** The last announcement of each upstream that was removed from the view; most recent removal last. */
    readonly #removed = new Map<string, UpstreamAnnouncement>();
    /** True while reading announcements from a restored older snapshot of the service. */
    #isReadingRestoredSnapshot = false;
    /** When this host last saw a call to the service fail. */
    #serviceFailedAtMilliseconds = Number.NEGATIVE_INFINITY;

    /** Records that a call to the key-value service failed. */
    recordServiceFailure(nowMilliseconds: number): void {
        this.#serviceFailedAtMilliseconds = nowMilliseconds;
    }

    /**
     * Reads a listing of the service after a restore from an older snapshot. The listing may contain announcements of
     * upstreams that have left since; these stay unusable until they announce themselves again.
     */
    readRestoredSnapshot(read: () => void): void {
        this.#isReadingRestoredSnapshot = true;
        read();
        this.#isReadingRestoredSnapshot = false;
    }

    /** Applies an announcement; an outdated one is ignored. */
    put(announcement: UpstreamAnnouncement): readonly UpstreamChange[] {
        const before = this.#known.get(announcement.id);
        if (before !== undefined && isOutdated(announcement, before.announcement)) {
            return [];
        }
        if (this.#isReadingRestoredSnapshot && this.#wasRemoved(announcement)) {
            return [];
        }
        this.#removed.delete(announcement.id);
        const replaced = this.#replaceOthersAtAddress(announcement);
        const usable = !announcement.leaving && !this.hasReportedLeaving(announcement);
        this.#setKnown(announcement.id, { announcement, usable, missing: false });
        if (before === undefined || !isSameIncarnation(before.announcement, announcement)) {
            return [...replaced, { type: usable ? "joined" : "updated", upstream: announcement }];
        }
        if (before.usable && !usable) {
            return [...replaced, { type: "left", upstream: announcement, reason: "announced" }];
        }
        return [...replaced, { type: "updated", upstream: announcement }];
    }

    /** Records an upstream's report in an answer that it leaves; no announcement of that incarnation revokes it. */
    recordLeaving(incarnation: UpstreamIncarnation): readonly UpstreamChange[] {
        const latest = this.#leavingIncarnations.get(incarnation.id);
        if (latest !== undefined && startTimeOf(latest) > startTimeOf(incarnation)) {
            return [];
        }
        this.#leavingIncarnations.delete(incarnation.id);
        this.#leavingIncarnations.set(incarnation.id, {
            id: incarnation.id,
            startedAtMilliseconds: incarnation.startedAtMilliseconds,
        });
        evictOldest(this.#leavingIncarnations, MAXIMUM_LEAVING_INCARNATIONS);
        const known = this.#known.get(incarnation.id);
        if (known?.usable !== true || isOlderIncarnation(incarnation, known.announcement)) {
            return [];
        }
        this.#setKnown(incarnation.id, { ...known, usable: false });
        return [{ type: "left", upstream: known.announcement, reason: "answered" }];
    }

    /** Returns whether this incarnation of an upstream, or a later one, reported in an answer that it leaves. */
    hasReportedLeaving(incarnation: UpstreamIncarnation): boolean {
        const leaving = this.#leavingIncarnations.get(incarnation.id);
        return leaving !== undefined && startTimeOf(incarnation) <= startTimeOf(leaving);
    }

    /** Records that an announcement was removed; soon after a service failure, a usable upstream is only in doubt. */
    remove(id: string, nowMilliseconds: number): readonly UpstreamChange[] {
        const known = this.#known.get(id);
        if (known === undefined) {
            return [];
        }
        if (known.usable && nowMilliseconds - this.#serviceFailedAtMilliseconds < SERVICE_FAILURE_WINDOW_MILLISECONDS) {
            if (known.missing) {
                return [];
            }
            this.#setKnown(id, { ...known, missing: true });
            return [{ type: "in-doubt", upstream: known.announcement }];
        }
        this.#removeUpstream(known.announcement);
        return [{ type: "left", upstream: known.announcement, reason: "removed" }];
    }

    /** Applies a full listing of announcements; known upstreams that it does not contain were removed. */
    replaceAll(announcements: readonly UpstreamAnnouncement[], nowMilliseconds: number): readonly UpstreamChange[] {
        const present = new Set(announcements.map(({ id }) => id));
        const missing = [...this.#known.keys()].filter(id => !present.has(id));
        return [
            ...missing.flatMap(id => this.remove(id, nowMilliseconds)),
            ...announcements.flatMap(announcement => this.put(announcement)),
        ];
    }

    /** Removes upstreams in doubt once the last service failure is long enough ago for them to have announced again. */
    expire(nowMilliseconds: number): readonly UpstreamChange[] {
        if (nowMilliseconds - this.#serviceFailedAtMilliseconds < REANNOUNCEMENT_MILLISECONDS) {
            return [];
        }
        const expired = [...this.#known.values()].filter(({ missing }) => missing);
        return expired.map(({ announcement }) => {
            this.#removeUpstream(announcement);
            return { type: "left", upstream: announcement, reason: "missing-after-outage" };
        });
    }

    get(id: string): UpstreamAnnouncement | undefined {
        return this.#known.get(id)?.announcement;
    }

    /** Returns the upstreams of a service that may receive requests. */
    usable(service: string): readonly UpstreamAnnouncement[] {
        const usable = this.#usable.get(service) ?? this.#findUsable(service);
        this.#usable.set(service, usable);
        return usable;
    }

    /** Rises whenever another incarnation of an upstream, or a version of its software, can or cannot receive requests. */
    get usableChanges(): number {
        return this.#usableChanges;
    }

    #findUsable(service: string): UpstreamAnnouncement[] {
        const found: UpstreamAnnouncement[] = [];
        for (const { announcement, usable } of this.#known.values()) {
            if (usable && announcement.service === service) {
                found.push(announcement);
            }
        }
        return found;
    }

    isUsable(id: string): boolean {
        return this.#known.get(id)?.usable === true;
    }

    /** Returns whether this incarnation of an upstream may receive requests, and no later one has taken its place. */
    isUsableIncarnation(incarnation: UpstreamIncarnation): boolean {
        const known = this.#known.get(incarnation.id);
        return known?.usable === true && isSameIncarnation(known.announcement, incarnation);
    }

    all(): UpstreamAnnouncement[] {
        return [...this.#known.values()].map(({ announcement }) => announcement);
    }

    #setKnown(id: string, known: KnownUpstream): void {
        const before = this.#known.get(id);
        this.#known.set(id, known);
        this.#usable.clear();
        const isSame = before !== undefined && before.usable === known.usable
            && canReceiveSame(before.announcement, known.announcement);
        this.#usableChanges += isSame ? 0 : 1;
    }

    #deleteKnown(id: string): void {
        this.#known.delete(id);
        this.#usable.clear();
        this.#usableChanges += 1;
    }

    #removeUpstream(announcement: UpstreamAnnouncement): void {
        this.#deleteKnown(announcement.id);
        this.#removed.delete(announcement.id);
        this.#removed.set(announcement.id, announcement);
        evictOldest(this.#removed, MAXIMUM_REMOVED_ANNOUNCEMENTS);
    }

    /** Returns whether this incarnation, or a later one of the same upstream, was removed. */
    #wasRemoved(announcement: UpstreamAnnouncement): boolean {
        const removed = this.#removed.get(announcement.id);
        return removed !== undefined && startTimeOf(announcement) <= startTimeOf(removed);
    }

    /** Removes other upstreams at the same address, which belongs to the upstream that started last. */
    #replaceOthersAtAddress(announcement: UpstreamAnnouncement): UpstreamChange[] {
        const replaced: UpstreamChange[] = [];
        for (const { announcement: other } of this.#known.values()) {
            const isSameAddress = other.address === announcement.address && other.id !== announcement.id;
            if (isSameAddress && !isOlderIncarnation(announcement, other)) {
                this.#deleteKnown(other.id);
                replaced.push({ type: "left", upstream: other, reason: "replaced" });
            }
        }
        return replaced;
    }
}
