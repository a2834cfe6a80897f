/**
 * This host's view of the upstreams: which exist, their models, load and health.
 *
 * @module
 */
import { EngineMemoryUse, EngineSpeeds, FirstEventForecast, HostRanks, PromptSizes } from "../capacity/index.js";
import { CrashAttribution, type CrashReport, type RequestAttributes } from "../crashes/index.js";
import { type RandomSource } from "../decision/index.js";
import {
    isOlderIncarnation,
    type UpstreamAnnouncement,
    type UpstreamChange,
    type UpstreamIncarnation,
    UpstreamView,
} from "../fleet/index.js";
import {
    PrefillBacklog,
    PromptPrefixIndex,
    UnreachableReports,
    UpstreamHealth,
    UpstreamLoads,
    UpstreamPauses,
} from "../forwarding/index.js";
import { UpstreamLiveness } from "../hedging/index.js";
import { type EntryMetrics, type Logger } from "../observability/index.js";
import { UpstreamContact } from "../partitions/index.js";
import { ResidencyView } from "../placement/index.js";
import { type KeyValueEntry } from "../platform/index.js";
import { type LimitChange, NamedLimits, RejectionBounds, type SlotLeases } from "../rateLimits/index.js";
import { type AnswerStatusAndHeaders, isFromOtherUpstream, readLoad, reportsLeaving } from "./_answerHead.js";
import { type HeaderNames, type SiteProtocol } from "./siteProtocol.js";
import {
    CrashRecorder,
    LeavingReports,
    LimitRecorder,
    logUpstreamChange,
    PauseRecorder,
    ToleranceRecorder,
} from "./upstreams/index.js";

const STATUS_OK = 200;

/** Options of the tracker. */
export interface UpstreamTrackerOptions {
    readonly host: string;
    readonly headers: HeaderNames;
    readonly decodeUpstream: SiteProtocol["decodeUpstream"];
    readonly logger: Logger;
    readonly metrics: EntryMetrics;
    readonly readClock: () => number;
    readonly random: RandomSource;
    /** An upstream's announcement changed. */
    readonly onAnnounced: (announcement: UpstreamAnnouncement) => void;
    /** An upstream has joined. */
    readonly onJoined: () => void;
    /** A change occurred that a waiting request may be waiting for. */
    readonly onChanged: () => void;
    /** Called where something may have been learned of crashes that peers should hear soon. */
    readonly onCrashNews: () => void;
    /** Returns the hosts that send requests; the same array while they are the same. */
    readonly sendingHosts: () => readonly string[];
    /** Returns this host's leases of upstreams' slots. */
    readonly slotLeases: () => SlotLeases;
    /** An answer to this host changed a limit. */
    readonly onLimitChanged: (change: LimitChange) => void;
}

/**
 * Combines upstreams' announcements with the outcomes of requests sent to them. What an event tells is recorded by the
 * parts in `upstreams/`; the tracker decides which of them it concerns, and holds the state that decisions read.
 */
export class UpstreamTracker {
    readonly view = new UpstreamView();
    readonly residency = new ResidencyView();
    readonly loads = new UpstreamLoads();
    readonly health = new UpstreamHealth();
    readonly pauses = new UpstreamPauses();
    readonly crashes: CrashAttribution;
    readonly prompts = new PromptPrefixIndex();
    readonly speeds = new EngineSpeeds();
    readonly memoryUse = new EngineMemoryUse();
    readonly hostRanks: HostRanks;
    readonly promptSizes = new PromptSizes();
    readonly forecast = new FirstEventForecast();
    readonly backlog: PrefillBacklog;
    readonly unreachableReports = new UnreachableReports();
    readonly limits = new NamedLimits();
    /** Rejections a second that upstreams tolerate. */
    readonly tolerances = new NamedLimits();
    readonly rejectionBounds: RejectionBounds;
    readonly contact = new UpstreamContact();
    readonly liveness = new UpstreamLiveness();
    readonly #options: UpstreamTrackerOptions;
    readonly #crashRecorder: CrashRecorder;
    readonly #leavingReports = new LeavingReports();
    readonly #limitRecorder: LimitRecorder;
    readonly #pauseRecorder: PauseRecorder;
    readonly #toleranceRecorder: ToleranceRecorder;

    constructor(options: UpstreamTrackerOptions) {
        this.#options = options;
        this.hostRanks = new HostRanks(options.host);
        this.backlog = new PrefillBacklog(options.random, (engine, now) => this.speeds.slowdown(engine, now));
        this.crashes = new CrashAttribution(options.host);
        this.rejectionBounds = new RejectionBounds({
            host: options.host,
            tolerances: this.tolerances,
            sendingHosts: options.sendingHosts,
            leases: options.slotLeases,
            upstreamsOf: service => this.view.usable(service).toSorted((left, right) => left.id < right.id ? -1 : 1),
        });
        const { crashes, limits, pauses, tolerances } = this;
        this.#crashRecorder = new CrashRecorder({ ...options, crashes });
        this.#limitRecorder = new LimitRecorder({ ...options, limits });
        this.#pauseRecorder = new PauseRecorder({ ...options, pauses });
        this.#toleranceRecorder = new ToleranceRecorder({ ...options, tolerances });
    }

    /** Applies an upstream's announcement from the key-value service; a new start time means that it crashed before. */
    applyRecord(id: string, entry: KeyValueEntry): void {
        const decoded = this.#options.decodeUpstream(id, entry.value);
        if (decoded.isErr()) {
            this.#options.logger.warn("announcement not readable", {
                upstream: id,
                revision: entry.revision,
                detail: decoded.error.message,
            });
            this.#options.metrics.count("upstream_changes", { change: "unreadable" });
            return;
        }
        const previous = this.view.get(id);
        if (previous !== undefined && previous.startedAtMilliseconds !== decoded.value.startedAtMilliseconds) {
            this.#crashRecorder.recordCrash(previous);
            this.#forgetNamed(id);
        }
        const changes = this.view.put(decoded.value);
        if (changes.length > 0) {
            this.residency.applyAnnouncement(decoded.value);
            this.#options.onAnnounced(decoded.value);
        }
        this.#handleChanges(changes);
    }

    /** Handles the removal of an upstream's announcement from the key-value service. */
    remove(id: string): void {
        this.#handleChanges(this.view.remove(id, this.#now()));
    }

    /**
     * Records the load, leaving, pause and limit in an answer's headers, also where the answer is then rejected.
     *
     * @param upstream The upstream that the request, order or report request was sent to.
     * @param head Status and headers of the answer.
     * @param sentAtMilliseconds When it was sent.
     */
    recordAnswerHead(upstream: UpstreamAnnouncement, head: AnswerStatusAndHeaders, sentAtMilliseconds: number): void {
        const { headers } = this.#options;
        const load = readLoad(head, headers);
        if (load !== undefined) {
            this.loads.recordReport(upstream.id, load, this.#now());
            const { id, service } = upstream;
            this.speeds.recordReport({ upstream: id, service, slowdown: load.slowdown }, this.#now());
        }
        this.unreachableReports.clear(upstream.id);
        this.contact.recordHeard(this.#now());
        if (!isFromOtherUpstream(head, upstream.id, headers)) {
            this.liveness.recordProbeAnswered(upstream.id, this.#now());
            if (reportsLeaving(head, headers)) {
                this.#recordLeaving(upstream);
            }
        }
        this.#pauseRecorder.record(upstream.id, head);
        if (!isFromOtherUpstream(head, upstream.id, headers) && this.isPresent(upstream)) {
            this.#limitRecorder.record(upstream, head, sentAtMilliseconds);
            this.#toleranceRecorder.record(upstream, head, sentAtMilliseconds);
        }
    }

    /** Records the answer to a health check; only one that the upstream itself gave, and that says that it is healthy. */
    recordHealth(upstream: UpstreamAnnouncement, { headers, status }: AnswerStatusAndHeaders): void {
        if (status === STATUS_OK && headers[this.#options.headers.answeringUpstream] === upstream.id) {
            this.contact.recordHeard(this.#now());
            this.liveness.recordProbeAnswered(upstream.id, this.#now());
        }
    }

    /** Returns whether an upstream is known, and no later incarnation of it. */
    isPresent(upstream: UpstreamIncarnation): boolean {
        const known = this.view.get(upstream.id);
        return known !== undefined && !isOlderIncarnation(upstream, known);
    }

    /** Logs and counts a change of a limit, which the upstream named to a host. */
    reportLimitChange(change: LimitChange, namedTo: string): void {
        this.#limitRecorder.reportChange(change, namedTo);
    }

    /** Records a peer's report that an upstream incarnation is leaving. */
    recordLeavingIncarnation(incarnation: UpstreamIncarnation): void {
        this.#handleChanges(this.view.recordLeaving(incarnation));
    }

    /** Returns the incarnations that recently reported to this host that they are leaving. */
    leavingIncarnations(): UpstreamIncarnation[] {
        return this.#leavingReports.recent(this.#now());
    }

    /** Drops expired upstreams and what is out of date on crashes. */
    expire(): void {
        this.#handleChanges(this.view.expire(this.#now()));
        this.#crashRecorder.expire();
    }

    /** Records a peer's report that it has sent a prompt. */
    recordPromptSentByPeer(engine: string, promptTokens: number, nowMilliseconds: number): void {
        const isLong = this.promptSizes.isLong(this.view.get(engine)?.service ?? "", promptTokens);
        this.backlog.recordSentByPeer(engine, promptTokens, nowMilliseconds, isLong);
    }

    /** Records a request that was lost with its connection before its answer had begun. */
    recordLost(attributes: RequestAttributes, upstream: UpstreamAnnouncement): void {
        this.#crashRecorder.recordLost(attributes, upstream);
    }

    /** Records a request whose answer has gone on for a while, or is complete. */
    recordAnswered(attributes: RequestAttributes, upstream: UpstreamAnnouncement): void {
        this.#crashRecorder.recordAnswered(attributes, upstream);
    }

    /** Records what a peer reports of crashes; requests that are held back may then be sent or refused. */
    recordCrashReport(report: CrashReport): void {
        if (this.#crashRecorder.receive(report)) {
            this.#options.onChanged();
        }
    }

    /** Records a failed connection; one refused right after requests were lost means that the upstream crashed. */
    recordUnreachable(upstream: string, isRefused: boolean): void {
        this.unreachableReports.record(upstream, this.#options.host, this.#now());
        this.contact.recordFailed(upstream, this.#now());
        const announcement = this.view.get(upstream);
        if (isRefused && announcement !== undefined) {
            this.#crashRecorder.recordRefusedConnection(announcement);
        }
    }

    /** Records that a request is sent; peers hear soon of one that is tried although it may crash upstreams. */
    recordSent(attributes: RequestAttributes): void {
        this.#crashRecorder.recordSent(attributes);
    }

    /** Returns whether requests to an upstream need a slot that is leased to this host. */
    needsLeasedSlot(upstream: string): boolean {
        const announcement = this.view.get(upstream);
        return announcement !== undefined && this.rejectionBounds.isLeased(announcement);
    }

    isUnreachable(upstream: string): boolean {
        return this.unreachableReports.isUnreachable(upstream, this.#now());
    }

    #recordLeaving({ id, startedAtMilliseconds }: UpstreamAnnouncement): void {
        const incarnation = { id, startedAtMilliseconds };
        if (!this.view.hasReportedLeaving(incarnation)) {
            this.#leavingReports.record(incarnation, this.#now());
        }
        this.#handleChanges(this.view.recordLeaving(incarnation));
    }

    /** Drops what an earlier incarnation of an upstream named. */
    #forgetNamed(upstream: string): void {
        this.limits.forget(upstream);
        this.tolerances.forget(upstream);
        this.rejectionBounds.forget(upstream);
    }

    #handleChanges(changes: readonly UpstreamChange[]): void {
        changes.forEach(change => this.#handleChange(change));
        if (changes.length > 0) {
            this.#options.onChanged();
        }
    }

    #handleChange(change: UpstreamChange): void {
        if (change.type === "left") {
            this.tolerances.forget(change.upstream.id);
            this.speeds.forget(change.upstream.id);
            this.hostRanks.forget(change.upstream.id);
            this.rejectionBounds.forget(change.upstream.id);
            this.#forget(change.upstream, change.reason);
        }
        if (change.type === "joined") {
            this.#options.onJoined();
        }
        logUpstreamChange(change, this.#options);
    }

    #forget(upstream: UpstreamAnnouncement, reason: string): void {
        if (reason !== "announced" && reason !== "answered") {
            this.#crashRecorder.recordCrash(upstream);
            this.residency.forget(upstream.id);
            this.health.forget(upstream.id);
            this.pauses.forget(upstream.id);
            this.prompts.forget(upstream.id);
            this.backlog.forget(upstream.id);
            this.liveness.forget(upstream.id);
            this.unreachableReports.clear(upstream.id);
            this.#limitRecorder.forget(upstream.id);
        }
    }

    #now(): number {
        return this.#options.readClock();
    }
}
