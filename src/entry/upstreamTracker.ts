/**
 * What this host believes of the upstreams: who is there, what they hold, how they do.
 *
 * @module
 */
import { type RandomSource } from "../decision/index.js";
import {
    type UpstreamAnnouncement,
    type UpstreamChange,
    type UpstreamIncarnation,
    UpstreamView,
} from "../fleet/index.js";
import {
    CrashSuspects,
    PrefillBacklog,
    PromptPrefixIndex,
    type SuspectRecord,
    UnreachableReports,
    UpstreamHealth,
    UpstreamLoads,
    UpstreamPauses,
} from "../forwarding/index.js";
import { type EntryMetrics, type Logger } from "../observability/index.js";
import { ResidencyView } from "../placement/index.js";
import { type KeyValueEntry } from "../platform/index.js";
import { readAskedPause, readLoad, saysLeaving } from "./_answerHead.js";
import { incarnationOf } from "./_upstreamIncarnation.js";
import { type HeaderNames, type SiteProtocol } from "./siteProtocol.js";
import { type AnswerHead } from "./upstreamCall.js";

/** Peers are told for this long that an upstream said it leaves; several digests fit, since any may be lost. */
const LEAVING_TOLD_MILLISECONDS = 3_000;

/** Options of the beliefs. */
export interface UpstreamTrackerOptions {
    readonly host: string;
    readonly headers: HeaderNames;
    readonly decodeUpstream: SiteProtocol["decodeUpstream"];
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
    readonly readClock: () => number;
    readonly random: RandomSource;
    /** An upstream announced something new. */
    readonly onAnnounced: (announcement: UpstreamAnnouncement) => void;
    /** An upstream has joined. */
    readonly onJoined: () => void;
    /** Something changed that a waiting request may wait for. */
    readonly onChanged: () => void;
}

/** Joins upstreams' announcements with what requests on them met. */
export class UpstreamTracker {
    readonly view = new UpstreamView();
    readonly residency = new ResidencyView();
    readonly loads = new UpstreamLoads();
    readonly health = new UpstreamHealth();
    readonly pauses = new UpstreamPauses();
    readonly suspects = new CrashSuspects();
    readonly prompts = new PromptPrefixIndex();
    readonly backlog: PrefillBacklog;
    readonly unreachableReports = new UnreachableReports();
    readonly #options: UpstreamTrackerOptions;
    readonly #newSuspects: SuspectRecord[] = [];
    /** Runs that told this host that they leave, with when it heard so. */
    readonly #heardLeaving = new Map<string, { readonly run: UpstreamIncarnation; readonly atMilliseconds: number; }>();

    constructor(options: UpstreamTrackerOptions) {
        this.#options = options;
        this.backlog = new PrefillBacklog(options.random);
    }

    /** Takes an upstream's announcement as the key-value service holds it. */
    take(id: string, entry: KeyValueEntry): void {
        const decoded = this.#options.decodeUpstream(id, entry.value);
        if (decoded.isErr()) {
            this.#options.logger.warn("announcement not readable", {
                upstream: id,
                revision: entry.revision,
                detail: decoded.error.message,
            });
            return;
        }
        const before = this.view.get(id);
        if (before !== undefined && before.startedAtMilliseconds !== decoded.value.startedAtMilliseconds) {
            this.#noteCrash(before);
        }
        const changes = this.view.put(decoded.value);
        if (changes.length > 0) {
            this.residency.applyAnnouncement(decoded.value);
            this.#options.onAnnounced(decoded.value);
        }
        this.#noteChanges(changes);
    }

    /** An upstream's announcement is gone from the key-value service. */
    remove(id: string): void {
        this.#noteChanges(this.view.remove(id, this.#now()));
    }

    /** Takes what an upstream says of itself with an answer, whatever becomes of the answer. */
    recordAnswerHead(upstream: UpstreamAnnouncement, head: AnswerHead): void {
        const { headers } = this.#options;
        const load = readLoad(head, headers);
        if (load !== undefined) {
            this.loads.report(upstream.id, load, this.#now());
        }
        this.unreachableReports.clear(upstream.id);
        if (saysLeaving(head, upstream.id, headers)) {
            this.#noteSaidLeaving(upstream);
        }
        this.#notePause(upstream.id, head);
    }

    /** Takes a peer's word that a run of an upstream told it that it leaves. */
    recordLeavingIncarnation(run: UpstreamIncarnation): void {
        this.#noteChanges(this.view.recordLeaving(run));
    }

    /** Gives the runs that told this host a moment ago that they leave. */
    leavingIncarnations(): UpstreamIncarnation[] {
        for (const [id, { atMilliseconds }] of this.#heardLeaving) {
            if (this.#now() - atMilliseconds > LEAVING_TOLD_MILLISECONDS) {
                this.#heardLeaving.delete(id);
            }
        }
        return [...this.#heardLeaving.values()].map(({ run }) => run);
    }

    /** Lets beliefs end whose time is over. */
    expire(): void {
        this.#noteChanges(this.view.expire(this.#now()));
        this.suspects.expire(this.#now());
    }

    /** An upstream that takes no connections right after requests were lost on it has crashed. */
    recordUnreachable(upstream: string): void {
        this.unreachableReports.record(upstream, this.#options.host, this.#now());
        const announcement = this.view.get(upstream);
        if (announcement !== undefined) {
            this.#noteCrash(announcement);
        }
    }

    isDown(upstream: string): boolean {
        return this.unreachableReports.isDown(upstream, this.#now());
    }

    /** Gives the suspects that peers were not told of, and takes them as told. */
    drainNewSuspects(): SuspectRecord[] {
        return this.#newSuspects.splice(0);
    }

    #noteSaidLeaving({ id, startedAtMilliseconds }: UpstreamAnnouncement): void {
        const run = { id, startedAtMilliseconds };
        if (!this.view.hasReportedLeaving(run)) {
            this.#heardLeaving.set(id, { run, atMilliseconds: this.#now() });
        }
        this.#noteChanges(this.view.recordLeaving(run));
    }

    #notePause(upstream: string, head: AnswerHead): void {
        const pause = readAskedPause(head);
        if (pause === undefined) {
            return;
        }
        if (pause.type === "unreadable") {
            this.#options.metrics.count("upstream_pauses", { outcome: "unreadable" });
            this.#options.logger.warn("pause not readable", { upstream, value: head.headers["retry-after"] });
            return;
        }
        this.pauses.record(upstream, pause.milliseconds, this.#now());
        this.#options.metrics.count("upstream_pauses", { outcome: pause.isCut ? "cut" : "obeyed" });
        this.#options.logger.info("upstream asked for a pause", {
            upstream,
            pauseMilliseconds: Math.round(pause.milliseconds),
            isCut: pause.isCut,
        });
    }

    #noteCrash(announcement: UpstreamAnnouncement): void {
        const suspects = this.suspects.recordCrash(incarnationOf(announcement), this.#now());
        for (const suspect of suspects) {
            this.#options.logger.warn("request suspected of a crash", {
                fingerprint: suspect.fingerprint,
                crashes: suspect.runs.length,
                upstream: announcement.id,
            });
        }
        this.#newSuspects.push(...suspects);
    }

    #noteChanges(changes: readonly UpstreamChange[]): void {
        changes.forEach(change => this.#noteChange(change));
        if (changes.length > 0) {
            this.#options.onChanged();
        }
    }

    #noteChange(change: UpstreamChange): void {
        if (change.type === "left") {
            this.#forget(change.upstream, change.reason);
        }
        if (change.type === "joined") {
            this.#options.onJoined();
        }
        if (change.type === "updated") {
            return;
        }
        this.#options.logger.info(`upstream ${change.type}`, {
            upstream: change.upstream.id,
            service: change.upstream.service,
            address: change.upstream.address,
            zone: change.upstream.zone,
            startedAt: change.upstream.startedAtMilliseconds,
            reason: change.type === "left" ? change.reason : undefined,
        });
        this.#options.metrics.count("upstream_changes", { change: change.type });
    }

    #forget(upstream: UpstreamAnnouncement, reason: string): void {
        if (reason !== "announced" && reason !== "answered") {
            this.#noteCrash(upstream);
            this.residency.forget(upstream.id);
            this.health.forget(upstream.id);
            this.pauses.forget(upstream.id);
            this.prompts.forget(upstream.id);
            this.backlog.forget(upstream.id);
            this.unreachableReports.clear(upstream.id);
        }
    }

    #now(): number {
        return this.#options.readClock();
    }
}
