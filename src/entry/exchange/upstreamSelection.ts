/**
 * Selects upstreams for one request, and requests adapters where no upstream holds the request's.
 *
 * @module
 */
import { type UpstreamAnnouncement } from "../../fleet/index.js";
import { type Candidate, type Choice, chooseUpstream } from "../../forwarding/index.js";
import {
    expectedArrivalMilliseconds,
    nameAdapter,
    rankAdapterCandidates,
    type Residency,
} from "../../placement/index.js";
import { type UpstreamUse, type WaitingRequest } from "../../rateLimits/index.js";
import { type ForwardingContext } from "../forwardingContext.js";
import { type RequestFacts } from "./requestFacts.js";

/** Load per slot of an engine from which its adapter is requested on a further engine too. */
const BUSY_ADAPTER_SHARE = 0.5;

/** Expected time until a model that is not in the configuration is available. */
const UNKNOWN_MODEL_WAIT_MILLISECONDS = 2_500;

/** What a selection depends on as the request goes on. */
export interface UpstreamSelectionOptions {
    /** Returns the request's place among those that need permits of rate limits. */
    readonly permitRequest: () => WaitingRequest;
    /** Returns whether an upstream has the software version that the request needs. */
    readonly allows: (upstream: UpstreamAnnouncement) => boolean;
    /** Returns whether the request is a stream of which the caller has a part already. */
    readonly isResumed: () => boolean;
    /** Returns the only version at which the request may go on; `undefined` where any may serve it. */
    readonly neededVersion: () => string | undefined;
    /** Returns how many slots of each upstream the request leaves free. */
    readonly slotsLeftFree: () => number;
}

/** Evaluates the current upstreams of a request's service, without those that have failed the request. */
export class UpstreamSelection {
    readonly #context: ForwardingContext;
    readonly #facts: RequestFacts;
    readonly #permitRequest: () => WaitingRequest;
    readonly #allows: (upstream: UpstreamAnnouncement) => boolean;
    readonly #isResumed: () => boolean;
    readonly #neededVersion: () => string | undefined;
    readonly #slotsLeftFree: () => number;
    /** Upstreams that have failed this request. */
    readonly #tried = new Set<string>();
    /** When the request was given up at upstreams that were silent. */
    readonly #silentSince = new Map<string, number>();

    /**
     * @param context What all requests of the host share.
     * @param facts What is known of the request.
     * @param options What depends on the request's progress.
     */
    constructor(
        context: ForwardingContext,
        facts: RequestFacts,
        { allows, isResumed, neededVersion, permitRequest, slotsLeftFree }: UpstreamSelectionOptions,
    ) {
        this.#context = context;
        this.#facts = facts;
        this.#allows = allows;
        this.#isResumed = isResumed;
        this.#neededVersion = neededVersion;
        this.#permitRequest = permitRequest;
        this.#slotsLeftFree = slotsLeftFree;
    }

    /** Excludes an upstream that failed the request from further attempts. */
    recordTried(upstream: string): void {
        this.#tried.add(upstream);
    }

    /** Excludes an upstream at which the request was given up as silent, until it answers something. */
    recordSilent(upstream: string): void {
        this.#silentSince.set(upstream, this.#now());
    }

    usable(): UpstreamAnnouncement[] {
        return this.#context.view.usable(this.#facts.service ?? "").filter(upstream => this.#allows(upstream));
    }

    /**
     * Returns a value that stays the same while the same upstreams are usable and hold the same of the request's model.
     */
    get copiesState(): string {
        const { residency, view } = this.#context;
        return `${view.usableChanges} ${residency.changesOf(this.#facts.model ?? "")}`;
    }

    residencyAt(upstream: UpstreamAnnouncement): Residency {
        const { adapter, model } = this.#facts;
        return model === undefined ? "held" : this.#context.residency.residencyOf(upstream.id, model, adapter);
    }

    /**
     * Chooses among upstreams; excluded are unreachable, paused and already tried ones, and those that need a permit
     * which is not at hand, or may reject one request too many.
     *
     * @param upstreams The upstreams that could run the request.
     * @param isWaiting True for a request that has waited.
     */
    choose(upstreams: readonly UpstreamAnnouncement[], isWaiting: boolean): Choice {
        const isPreferred = this.#isResumed();
        const slotsLeftFree = isPreferred ? 0 : this.#slotsLeftFree();
        return this.#choose(this.#candidates(upstreams, { isWaiting, isPreferred, slotsLeftFree }));
    }

    #choose(candidates: readonly Candidate[]): Choice {
        const withinBounds = candidates.filter(candidate => this.#isWithinBounds(candidate));
        const accepting = withinBounds.map(candidate => this.#withLeasedSlot(candidate));
        const choice = chooseUpstream(accepting, this.#context.random);
        const isBound = accepting.length < candidates.length && (choice.type === "none" || choice.type === "all-full");
        return isBound ? { type: "may-reject" } : choice;
    }

    /** Returns false for an upstream that tolerates few rejections, where the request may cause one too many. */
    #isWithinBounds({ id, requests, slots }: Candidate): boolean {
        return this.#context.rejectionBounds.accepts(this.#use({ id, requests, slots }), this.#now());
    }

    /** Returns a candidate with room for a request where a slot is leased for one: older reports may show none. */
    #withLeasedSlot(candidate: Candidate): Candidate {
        const { requests, slots } = candidate;
        const isLeased = this.#context.rejectionBounds.hasLeasedSlot(this.#use(candidate), this.#now());
        return isLeased ? { ...candidate, requests: Math.min(requests, slots - 1) } : candidate;
    }

    /** Asks for a slot of one of some upstreams that may reject the request, which has waited since a time. */
    requestSlot(upstreams: readonly UpstreamAnnouncement[], sinceMilliseconds: number): void {
        const now = this.#now();
        const uses = this.#available(upstreams).map(({ id, slots }) =>
            this.#use({ id, slots: Math.max(1, slots), requests: this.#context.loads.estimate(id, now) })
        );
        this.#context.rejectionBounds.requestSlot(uses, sinceMilliseconds, now);
    }

    #use({ id, requests, slots }: Pick<UpstreamUse, "id" | "requests" | "slots">): UpstreamUse {
        const service = this.#facts.service ?? "";
        return { id, service, slots, requests, ownRequests: this.#context.loads.inFlight(id) };
    }

    /** Returns the upstreams that could run the request, but need a permit of their rate limit that is not at hand. */
    awaitingPermit(upstreams: readonly UpstreamAnnouncement[]): UpstreamAnnouncement[] {
        return this.#available(upstreams.filter(({ id }) => this.#needsPermit(id)));
    }

    /** Returns the upstreams that name no rate limit. */
    withoutLimit(upstreams: readonly UpstreamAnnouncement[]): UpstreamAnnouncement[] {
        return upstreams.filter(({ id }) => !this.#isLimited(id));
    }

    /** Returns whether an upstream names a rate limit and no permit is at hand for the request. */
    #needsPermit(upstream: string): boolean {
        return this.#context.rateLimiting.limiter.state(upstream, this.#permitRequest(), this.#now()) === "wait";
    }

    /** Returns the shortest remaining pause of untried upstreams; `undefined` if none exist or one is not paused. */
    shortestPause(upstreams: readonly UpstreamAnnouncement[]): number | undefined {
        const untried = upstreams.filter(({ id }) => !this.#isExcluded(id));
        const pauses = untried.map(({ id }) => this.#context.pauses.remaining(id, this.#now()));
        const shortest = Math.min(...pauses);
        return pauses.length > 0 && shortest > 0 ? shortest : undefined;
    }

    /** Returns whether an upstream other than the given ones could accept the request, now or after some prefill. */
    hasAlternative(current: ReadonlySet<string>): boolean {
        const { type } = this.#choiceWithout(current);
        return type === "send" || type === "reading";
    }

    /**
     * Returns an upstream that accepts the request now; `undefined` where none does.
     *
     * @param current Upstreams that have the request already.
     * @param isEligible Returns whether an upstream may be chosen; all by default.
     */
    chooseOther(
        current: ReadonlySet<string>,
        isEligible: (upstream: UpstreamAnnouncement) => boolean = () => true,
    ): UpstreamAnnouncement | undefined {
        const choice = this.#choiceWithout(current, isEligible);
        return choice.type === "send" ? this.#context.view.get(choice.upstream) : undefined;
    }

    #choiceWithout(
        current: ReadonlySet<string>,
        isEligible: (upstream: UpstreamAnnouncement) => boolean = () => true,
    ): Choice {
        const others = this.usable().filter(upstream =>
            !current.has(upstream.id) && this.residencyAt(upstream) === "held" && isEligible(upstream)
        );
        return this.#choose(this.#candidates(others, { isWaiting: false, isPreferred: false, slotsLeftFree: 0 }));
    }

    /** Returns the requests at an upstream as a share of its slots. */
    loadShare(upstream: string): number {
        const slots = this.#context.view.get(upstream)?.slots ?? 1;
        return this.#context.loads.estimate(upstream, this.#now()) / Math.max(1, slots);
    }

    /** Returns the share of an upstream's capacity that is in use, for the choice of where to load adapters. */
    #usedShare(upstream: string): number {
        return this.#isLimited(upstream) ? 1 : this.loadShare(upstream);
    }

    #isLimited(upstream: string): boolean {
        return this.#context.rateLimiting.limiter.isLimited(upstream);
    }

    /** Returns whether an upstream without a rate limit holds the request's model and adapter. */
    #hasUnlimitedCopy(): boolean {
        return this.withoutLimit(this.usable()).some(upstream => this.residencyAt(upstream) === "held");
    }

    /** Requests the adapter from the holder of its first candidate engine, or of the next where that has no holder. */
    requestAdapter(loadable: readonly UpstreamAnnouncement[]): void {
        const { adapter, model } = this.#facts;
        if (model === undefined || adapter === undefined) {
            return;
        }
        const candidates = rankAdapterCandidates(
            nameAdapter(model, adapter),
            loadable.map(upstream => ({
                id: upstream.id,
                freeSlots: this.#freeAdapterSlots(upstream),
                loadShare: this.#usedShare(upstream.id),
                loading: this.#context.residency.loading(upstream.id) !== undefined,
            })),
        );
        candidates.find(engine => this.#context.requestAdapter(engine, model, adapter));
    }

    /** Requests the adapter on a further engine where the chosen one is busy. */
    requestFurtherCopy(chosen: string): void {
        const { adapter, model } = this.#facts;
        if (adapter === undefined || model === undefined) {
            return;
        }
        const load = this.#usedShare(chosen);
        if (load < BUSY_ADAPTER_SHARE || (this.#isLimited(chosen) && this.#hasUnlimitedCopy())) {
            return;
        }
        const others = this.usable().filter(upstream =>
            this.residencyAt(upstream) === "adapter-missing" && this.#freeAdapterSlots(upstream) > 0
        );
        const choice = this.choose(others, false);
        if (choice.type === "send" && this.loadShare(choice.upstream) < load / 2) {
            this.#context.requestAdapter(choice.upstream, model, adapter);
        }
    }

    /** Returns the time until the request's model is expected on an engine. */
    expectedModelMilliseconds(): number {
        const name = this.#facts.model ?? "";
        const engine = this.#context.routeTable()?.service(this.#facts.service ?? "")?.engine;
        const model = engine?.models.find(each => each.name === name);
        if (model === undefined) {
            return UNKNOWN_MODEL_WAIT_MILLISECONDS;
        }
        const now = this.#now();
        const prospects = this.usable().map(({ id, localWeights: { inMemory, onDisk } }) => {
            const since = this.#context.residency.loadingSince(id, name);
            return {
                hasLocalWeights: inMemory.includes(name) || onDisk.includes(name),
                loadingForMilliseconds: since === undefined ? undefined : now - since,
            };
        });
        return expectedArrivalMilliseconds(model, prospects);
    }

    /** Returns the time until a copy that is being loaded serves the request's model; `undefined` where none is. */
    arrivingCopyMilliseconds(): number | undefined {
        const { residency } = this.#context;
        const name = this.#facts.model;
        const isArriving = name !== undefined
            && this.usable().some(({ id }) => residency.loadingSince(id, name) !== undefined);
        return isArriving ? this.expectedModelMilliseconds() : undefined;
    }

    /** Returns log fields with the numbers of upstreams that a choice was made from. */
    describe(): Record<string, number | string> {
        const usable = this.usable();
        const resident = usable.filter(upstream => this.residencyAt(upstream) === "held");
        return {
            usableUpstreams: usable.length,
            residentUpstreams: resident.length,
            triedUpstreams: this.#tried.size + this.#silentSince.size,
            ...this.#describeVersion(usable),
        };
    }

    /** Returns log fields with the copies at the only version at which the request may go on, and elsewhere. */
    #describeVersion(usable: readonly UpstreamAnnouncement[]): Record<string, number | string> {
        const neededVersion = this.#neededVersion();
        if (neededVersion === undefined) {
            return {};
        }
        const { residency, view } = this.#context;
        const { model = "", service = "" } = this.#facts;
        const others = view.usable(service).filter(({ softwareVersion }) => softwareVersion !== neededVersion);
        return {
            neededVersion,
            loadingUpstreams: usable.filter(({ id }) => residency.loading(id) === model).length,
            copiesWithoutAdapter: usable.filter(each => this.residencyAt(each) === "adapter-missing").length,
            residentElsewhere: others.filter(each => this.residencyAt(each) === "held").length,
        };
    }

    /** A silent upstream may only have paused. */
    #isExcluded(upstream: string): boolean {
        const silentSince = this.#silentSince.get(upstream);
        const isSilent = silentSince !== undefined && !this.#context.liveness.hasRespondedSince(upstream, silentSince);
        return isSilent || this.#tried.has(upstream);
    }

    #now(): number {
        return this.#context.readClock();
    }

    #freeAdapterSlots({ id, service }: UpstreamAnnouncement): number {
        const slots = this.#context.routeTable()?.service(service)?.engine?.adapterSlots ?? 0;
        return slots - this.#context.residency.adapterCount(id);
    }

    /**
     * Returns the upstreams that are reachable, not paused and have not failed the request; where there is none, those at
     * which it was given up as silent and that have answered something since.
     */
    #available(upstreams: readonly UpstreamAnnouncement[]): UpstreamAnnouncement[] {
        const { health, pauses } = this.#context;
        const now = this.#now();
        const available = upstreams.filter(({ id }) =>
            !this.#isExcluded(id) && !health.isUnreachable(id, now) && pauses.remaining(id, now) === 0
        );
        const others = available.filter(({ id }) => !this.#silentSince.has(id));
        return others.length > 0 ? others : available;
    }

    /**
     * Evaluates upstreams for a choice. A preferred request is not held back behind the prompts and queues of others: its
     * caller has seen the stream stop. One that still has an upstream is not, since its prompt may be read too late there.
     */
    #candidates(
        upstreams: readonly UpstreamAnnouncement[],
        { isPreferred, isWaiting, slotsLeftFree }: {
            readonly isPreferred: boolean;
            readonly isWaiting: boolean;
            readonly slotsLeftFree: number;
        },
    ): Candidate[] {
        const { backlog, health, loads, hostRanks, promptSizes, prompts, speeds, zone } = this.#context;
        const { model, promptTokens, sharedPrompt } = this.#facts;
        const prompt = { promptTokens, waits: isWaiting, hostCount: isWaiting ? this.#context.hostCount() : 1 };
        const batches = model !== undefined;
        const { maxSockets } = this.#context.agentFor(this.#facts.service ?? "");
        const now = this.#now();
        const acceptsAnyPrompt = !batches || isPreferred;
        const hasLongPrompt = promptSizes.isLong(this.#facts.service ?? "", promptTokens);
        const memoryTokens = this.#engineMemoryTokens();
        const permitted = this.#available(upstreams).filter(({ id }) => !this.#needsPermit(id));
        return permitted.map(upstream => {
            const isReporting = speeds.isReporting(upstream.id, upstream.service);
            const requests = this.#estimateRequests(upstream, isReporting, now);
            return {
                id: upstream.id,
                slots: Math.max(1, upstream.slots),
                batches,
                mayQueue: isPreferred,
                requests,
                hasFreeConnection: loads.inFlight(upstream.id) < maxSockets,
                slotsLeftFree,
                prefillBacklogTokens: backlog.backlogTokens(upstream.id, now),
                acceptsPrompt: acceptsAnyPrompt || backlog.accepts(upstream.id, prompt, now),
                sameZone: upstream.zone === zone,
                avoided: health.isAvoided(upstream.id, now),
                hasCachedPrompt: sharedPrompt !== undefined && prompts.has(upstream.id, sharedPrompt),
                slowdown: speeds.slowdown(upstream.id, now),
                hostRank: isReporting ? hostRanks.of(upstream.id) : undefined,
                longPromptTokens: isReporting ? backlog.longTokens(upstream.id, now) : 0,
                hasLongPrompt,
                memoryShare: memoryTokens === undefined || !isReporting
                    ? 0
                    : this.#heldTokens(upstream, requests) / memoryTokens,
            };
        });
    }

    /**
     * Estimates an upstream's requests. The bounds on rejections hold for the estimate that follows the last news, so it
     * stays for upstreams that tolerate few.
     */
    #estimateRequests(upstream: UpstreamAnnouncement, isReporting: boolean, now: number): number {
        const { loads, rejectionBounds } = this.#context;
        return isReporting && rejectionBounds.tolerance(upstream) === undefined
            ? loads.steadyEstimate(upstream.id, now)
            : loads.estimate(upstream.id, now);
    }

    /** Returns the memory of an engine of the request's service, in tokens; `undefined` where it is not known. */
    #engineMemoryTokens(): number | undefined {
        const { model, service } = this.#facts;
        const engine = model === undefined ? undefined : this.#context.routeTable()?.service(service ?? "")?.engine;
        return engine !== undefined && engine.cacheTokens > 0 ? engine.cacheTokens : undefined;
    }

    /** Returns the estimated tokens that an engine's requests hold together with this one. */
    #heldTokens({ id, service }: UpstreamAnnouncement, requests: number): number {
        const { loads, memoryUse } = this.#context;
        const held = memoryUse.heldTokens({ engine: id, service, requests, ownRequests: loads.inFlight(id) });
        return held + this.#facts.totalTokens;
    }
}
