/**
 * Which upstreams may be used, by what they announce in the key-value service.
 *
 * @module
 */
import { type UpstreamAnnouncement } from "./types.js";

/** After its return, the service has the announcements of all live upstreams back within this time. */
const ANNOUNCEMENTS_BACK_MILLISECONDS = 2_000;

/** For so long after trouble with the service, a removed announcement may still name a live upstream. */
const TROUBLE_MEMORY_MILLISECONDS = 1_500;

/** Runs of upstreams that said in an answer that they leave, of which the latest are remembered. */
const MOST_LEAVING_RUNS = 4_096;

/** Announcements that were removed, of which the latest are remembered. */
const MOST_REMOVED = 4_096;

/** Why an upstream left the view; the first two leave it alive for a while. */
export type LeavingReason = "announced" | "answered" | "removed" | "missing-after-outage" | "replaced";

/** One run of an upstream's process. */
export type UpstreamIncarnation = Pick<UpstreamAnnouncement, "id" | "startedAtMilliseconds">;

/** What changed in the view. */
export type UpstreamChange =
    | { readonly type: "joined"; readonly upstream: UpstreamAnnouncement; }
    | { readonly type: "left"; readonly upstream: UpstreamAnnouncement; readonly reason: LeavingReason; }
    /** The announcement is missing, perhaps only for an outage of the service; the upstream is used until it is over. */
    | { readonly type: "in-doubt"; readonly upstream: UpstreamAnnouncement; }
    | { readonly type: "updated"; readonly upstream: UpstreamAnnouncement; };

interface Known {
    readonly announcement: UpstreamAnnouncement;
    readonly usable: boolean;
    /** Set while the announcement is missing and its upstream may still live. */
    readonly missing: boolean;
}

function startOf(run: UpstreamIncarnation): number {
    return run.startedAtMilliseconds ?? 0;
}

function isOlderRun(candidate: UpstreamIncarnation, known: UpstreamIncarnation): boolean {
    return startOf(candidate) < startOf(known);
}

/** An announcement may be written after a later one of the same run, or of a run that has ended. */
function isOlder(candidate: UpstreamAnnouncement, known: UpstreamAnnouncement): boolean {
    const earlier = isSameIncarnation(candidate, known) && candidate.announcementNumber < known.announcementNumber;
    return earlier || isOlderRun(candidate, known);
}

/** Forgets the entries that were set first, beyond the most that are kept. */
function forgetFirst(entries: Map<string, unknown>, most: number): void {
    for (const key of entries.keys()) {
        if (entries.size <= most) {
            return;
        }
        entries.delete(key);
    }
}

/** Tells whether two announcements come from one run of a process. */
export function isSameIncarnation(left: UpstreamIncarnation, right: UpstreamIncarnation): boolean {
    return left.id === right.id && left.startedAtMilliseconds === right.startedAtMilliseconds;
}

/**
 * The upstreams that are known. Not usable are those that leave, by their announcement or by their own word in an answer,
 * which no later announcement of the same run takes back. An announcement that is removed around an outage of the key-value
 * service stays in doubt until the service has been back for long enough.
 *
 * @example
 * ```ts
 * const view = new UpstreamView();
 * view.put(announcement);
 * view.noteLeaving(announcement);
 * view.usable(announcement.service); // without it
 * ```
 */
export class UpstreamView {
    readonly #known = new Map<string, Known>();
    /** The run of each upstream that said in an answer that it leaves, those heard last at the end. */
    readonly #leavingRuns = new Map<string, UpstreamIncarnation>();
    /** The last announcement of each upstream that is gone, those removed last at the end. */
    readonly #removed = new Map<string, UpstreamAnnouncement>();
    /** True while announcements come from an older copy of the service. */
    #readsOldCopy = false;
    /** Latest time at which the service was in trouble, as far as this host saw. */
    #troubleAtMilliseconds = Number.NEGATIVE_INFINITY;

    /** Takes note that a call to the key-value service failed. */
    recordServiceFailure(nowMilliseconds: number): void {
        this.#troubleAtMilliseconds = nowMilliseconds;
    }

    /**
     * Reads what the service lists after it came back from an older copy. An upstream that has left since may be announced
     * there; it is not used for that, until it announces itself again.
     */
    readOldCopy(read: () => void): void {
        this.#readsOldCopy = true;
        read();
        this.#readsOldCopy = false;
    }

    /** Takes one announcement as it was written. */
    put(announcement: UpstreamAnnouncement): readonly UpstreamChange[] {
        const before = this.#known.get(announcement.id);
        if (before !== undefined && isOlder(announcement, before.announcement)) {
            return [];
        }
        if (this.#readsOldCopy && this.#hasLeft(announcement)) {
            return [];
        }
        this.#removed.delete(announcement.id);
        const replaced = this.#dropOthersAt(announcement);
        const usable = !announcement.leaving && !this.hasReportedLeaving(announcement);
        this.#known.set(announcement.id, { announcement, usable, missing: false });
        if (before === undefined || !isSameIncarnation(before.announcement, announcement)) {
            return [...replaced, { type: usable ? "joined" : "updated", upstream: announcement }];
        }
        if (before.usable && !usable) {
            return [...replaced, { type: "left", upstream: announcement, reason: "announced" }];
        }
        return [...replaced, { type: "updated", upstream: announcement }];
    }

    /** Takes an upstream's own word that it leaves; it binds this run only, whatever else is heard of it. */
    recordLeaving(run: UpstreamIncarnation): readonly UpstreamChange[] {
        const latest = this.#leavingRuns.get(run.id);
        if (latest !== undefined && startOf(latest) > startOf(run)) {
            return [];
        }
        this.#leavingRuns.delete(run.id);
        this.#leavingRuns.set(run.id, { id: run.id, startedAtMilliseconds: run.startedAtMilliseconds });
        forgetFirst(this.#leavingRuns, MOST_LEAVING_RUNS);
        const known = this.#known.get(run.id);
        if (known?.usable !== true || isOlderRun(run, known.announcement)) {
            return [];
        }
        this.#known.set(run.id, { ...known, usable: false });
        return [{ type: "left", upstream: known.announcement, reason: "answered" }];
    }

    /** Tells whether this run of an upstream, or a later one, said in an answer that it leaves. */
    hasReportedLeaving(run: UpstreamIncarnation): boolean {
        const leaving = this.#leavingRuns.get(run.id);
        return leaving !== undefined && startOf(run) <= startOf(leaving);
    }

    /** Takes the removal of an announcement. */
    remove(id: string, nowMilliseconds: number): readonly UpstreamChange[] {
        const known = this.#known.get(id);
        if (known === undefined) {
            return [];
        }
        if (known.usable && nowMilliseconds - this.#troubleAtMilliseconds < TROUBLE_MEMORY_MILLISECONDS) {
            if (known.missing) {
                return [];
            }
            this.#known.set(id, { ...known, missing: true });
            return [{ type: "in-doubt", upstream: known.announcement }];
        }
        this.#drop(known.announcement);
        return [{ type: "left", upstream: known.announcement, reason: "removed" }];
    }

    /** Takes all announcements at one moment; those that are missing from it were removed. */
    replaceAll(announcements: readonly UpstreamAnnouncement[], nowMilliseconds: number): readonly UpstreamChange[] {
        const present = new Set(announcements.map(({ id }) => id));
        const missing = [...this.#known.keys()].filter(id => !present.has(id));
        return [
            ...missing.flatMap(id => this.remove(id, nowMilliseconds)),
            ...announcements.flatMap(announcement => this.put(announcement)),
        ];
    }

    /** Drops upstreams in doubt once the key-value service has been back for long enough. */
    expire(nowMilliseconds: number): readonly UpstreamChange[] {
        if (nowMilliseconds - this.#troubleAtMilliseconds < ANNOUNCEMENTS_BACK_MILLISECONDS) {
            return [];
        }
        const gone = [...this.#known.values()].filter(({ missing }) => missing);
        return gone.map(({ announcement }) => {
            this.#drop(announcement);
            return { type: "left", upstream: announcement, reason: "missing-after-outage" };
        });
    }

    get(id: string): UpstreamAnnouncement | undefined {
        return this.#known.get(id)?.announcement;
    }

    /** Gives the upstreams of a service that may take requests. */
    usable(service: string): UpstreamAnnouncement[] {
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

    all(): UpstreamAnnouncement[] {
        return [...this.#known.values()].map(({ announcement }) => announcement);
    }

    #drop(announcement: UpstreamAnnouncement): void {
        this.#known.delete(announcement.id);
        this.#removed.delete(announcement.id);
        this.#removed.set(announcement.id, announcement);
        forgetFirst(this.#removed, MOST_REMOVED);
    }

    /** Tells whether this announcement, or a later one of the same run, was removed. */
    #hasLeft(announcement: UpstreamAnnouncement): boolean {
        const removed = this.#removed.get(announcement.id);
        return removed !== undefined && startOf(announcement) <= startOf(removed);
    }

    /** An address belongs to the upstream that announced it last. */
    #dropOthersAt(announcement: UpstreamAnnouncement): UpstreamChange[] {
        const others = [...this.#known.values()].filter(({ announcement: other }) =>
            other.address === announcement.address && other.id !== announcement.id
        );
        const older = others.filter(({ announcement: other }) => !isOlderRun(announcement, other));
        return older.map(({ announcement: other }) => {
            this.#known.delete(other.id);
            return { type: "left", upstream: other, reason: "replaced" };
        });
    }
}
