/**
 * Sites for placement simulations: engines, models, kinds of requests, and days with shifting demand and engine crashes.
 *
 * @module
 */
import { type RandomSource } from "../../src/decision/index.js";
import { type EngineDefinition } from "../../src/routes/index.js";

/** One kind of request. */
export interface RequestKind {
    readonly name: string;
    readonly perSecond: number;
    readonly promptTokens: number;
    /** Mean of an exponential distribution. */
    readonly outputTokens: number;
    /** Target for the first token; an answer that starts later counts with the late value. */
    readonly firstTokenTargetMilliseconds: number;
    readonly deadlineMilliseconds: number;
    readonly value: number;
    readonly lateValue: number;
    /** How often callers retry after a refusal. */
    readonly retries: number;
}

/** Demand and crashes of one simulated day. */
export interface SimulatedDay {
    readonly lengthMilliseconds: number;
    /** Returns each model's share of a kind's requests atMilliseconds a time. */
    readonly shares: (atMilliseconds: number) => (kind: RequestKind) => ReadonlyMap<string, number>;
    readonly crashes: readonly {
        readonly atMilliseconds: number;
        readonly engine: number;
        readonly durationMilliseconds: number;
    }[];
}

/** A site to simulate. */
export interface SimulatedSite {
    readonly definition: EngineDefinition;
    readonly kinds: readonly RequestKind[];
    /** Maximum number of models whose weights an engine keeps in host memory and on disk. */
    readonly inMemory: number;
    readonly onDisk: number;
    readonly memoryLoadMilliseconds: number;
    readonly diskLoadMilliseconds: number;
    readonly promptTokensPerMillisecond: number;
    readonly stepMilliseconds: number;
    /** Draws the models that each engine holds atMilliseconds the start. */
    readonly start: (random: RandomSource) => readonly (readonly string[])[];
    /** Draws one day. */
    readonly draw: (random: RandomSource) => SimulatedDay;
}

/** Options of a simulated site. */
export interface SimulatedSiteOptions {
    readonly engines: number;
    readonly urgentModels: number;
    readonly patientModels: number;
    /** Multiplies the rates of all kinds. */
    readonly load: number;
    /** Engine crashes on a day. */
    readonly crashes: number;
    readonly engineMegabytes: number;
    readonly modelMegabytes: number;
    readonly storeLoadMilliseconds: number;
    readonly diskLoadMilliseconds: number;
}

const DAY_MILLISECONDS = 40_000;

/** Demand shares of the models that urgent callers request at the same time. */
const URGENT_SHARES = [0.6, 0.22, 0.18];

/** Time within which demand moves from one model to another, linearly. */
const SHIFT_MILLISECONDS = 5_000;

const SHIFTS_AT_MILLISECONDS = [1_000, 14_000, 24_000];

interface Shift {
    readonly atMilliseconds: number;
    readonly from: string;
    readonly to: string;
    readonly share: number;
}

function shuffle<Item>(items: readonly Item[], random: RandomSource): Item[] {
    return items.map(item => ({ item, key: random() })).sort((left, right) => left.key - right.key).map(({ item }) =>
        item
    );
}

function drawShifts(models: readonly string[], active: string[], random: RandomSource): Shift[] {
    return SHIFTS_AT_MILLISECONDS.map(atMilliseconds => {
        const idle = models.filter(model => !active.includes(model));
        const position = Math.floor(random() * active.length);
        const to = idle[Math.floor(random() * idle.length)] ?? "";
        const from = active[position] ?? "";
        active[position] = to;
        return { atMilliseconds, from, to, share: URGENT_SHARES[position] ?? 0 };
    });
}

function sharesAt(atMilliseconds: number, start: readonly string[], shifts: readonly Shift[]): Map<string, number> {
    const shares = new Map(start.map((model, index) => [model, URGENT_SHARES[index] ?? 0]));
    for (const shift of shifts) {
        const moved = shift.share
            * Math.min(1, Math.max(0, (atMilliseconds - shift.atMilliseconds) / SHIFT_MILLISECONDS));
        shares.set(shift.from, (shares.get(shift.from) ?? 0) - moved);
        shares.set(shift.to, (shares.get(shift.to) ?? 0) + moved);
    }
    return shares;
}

/**
 * Creates a site with more models than its engines can hold at once.
 *
 * @param options Size and load of the site.
 *
 * @example
 * ```ts
 * const site = createSimulatedSite({ ...SITES.largeWeights, load: 0.7 });
 * ```
 */
export function createSimulatedSite(options: SimulatedSiteOptions): SimulatedSite {
    const urgent = Array.from({ length: options.urgentModels }, (_, index) => `urgent-${index}`);
    const patient = Array.from({ length: options.patientModels }, (_, index) => `patient-${index}`);
    const sizeOf = (model: string): number =>
        model === "patient-0" ? options.modelMegabytes / 2 : options.modelMegabytes;
    const kinds = createKinds(options.load);
    return {
        definition: {
            slots: 64,
            cacheTokens: 140_000,
            weightMegabytes: options.engineMegabytes,
            adapterSlots: 8,
            loadsPerSecond: 2,
            models: [...urgent, ...patient].map(name => ({
                name,
                weightMegabytes: sizeOf(name),
                adapterCount: 0,
                adapterMegabytes: 60,
                storeLoadMilliseconds: options.storeLoadMilliseconds,
            })),
        },
        kinds,
        inMemory: 2,
        onDisk: 6,
        memoryLoadMilliseconds: 400,
        diskLoadMilliseconds: options.diskLoadMilliseconds,
        promptTokensPerMillisecond: 25,
        stepMilliseconds: 6,
        start: random => drawInitialPlacement(options.engines, urgent, patient, random),
        draw: random => drawDay(options, urgent, patient, random),
    };
}

function createKinds(load: number): RequestKind[] {
    const shared = { retries: 1, firstTokenTargetMilliseconds: 300 };
    return [
        {
            ...shared,
            name: "long",
            perSecond: 66 * load,
            promptTokens: 714,
            outputTokens: 280,
            deadlineMilliseconds: 15_000,
            value: 2.2,
            lateValue: 1.1,
        },
        {
            ...shared,
            name: "short",
            perSecond: 56 * load,
            promptTokens: 383,
            outputTokens: 45,
            deadlineMilliseconds: 4_000,
            value: 1.1,
            lateValue: 0.55,
        },
        {
            ...shared,
            name: "patient",
            perSecond: 7 * load,
            promptTokens: 714,
            outputTokens: 280,
            firstTokenTargetMilliseconds: 4_000,
            deadlineMilliseconds: 25_000,
            value: 1.1,
            lateValue: 0.54,
        },
    ];
}

/** Puts the busiest model on half of the engines, then one copy of each other model while there is room. */
function drawInitialPlacement(
    engines: number,
    urgent: readonly string[],
    patient: readonly string[],
    random: RandomSource,
): string[][] {
    const placement = Array.from({ length: engines }, (): string[] => []);
    const [busiest, ...others] = urgent;
    const order = shuffle(placement, random);
    order.slice(0, Math.ceil(engines / 2)).forEach(models => models.push(busiest ?? ""));
    for (const model of [...others, ...patient]) {
        const modelsOfEngine = order.find(models => models.length < 2);
        modelsOfEngine?.push(model);
    }
    return placement;
}

function drawDay(
    { crashes, engines }: SimulatedSiteOptions,
    urgent: readonly string[],
    patient: readonly string[],
    random: RandomSource,
): SimulatedDay {
    const start = urgent.slice(0, URGENT_SHARES.length);
    const shifts = drawShifts(urgent, [...start], random);
    const evenShares = new Map(patient.map(model => [model, 1 / patient.length]));
    return {
        lengthMilliseconds: DAY_MILLISECONDS,
        shares: atMilliseconds => {
            const urgentShares = sharesAt(atMilliseconds, start, shifts);
            return kind => kind.name === "patient" ? evenShares : urgentShares;
        },
        crashes: Array.from({ length: crashes }, () => ({
            atMilliseconds: 10 * Math.floor(200 + random() * 2_800),
            engine: Math.floor(random() * engines),
            durationMilliseconds: 2_500,
        })),
    };
}

/** Sites of the measurements and tests. */
export const SITES: Readonly<Record<"largeWeights" | "smallWeights", SimulatedSiteOptions>> = {
    largeWeights: {
        engines: 6,
        urgentModels: 6,
        patientModels: 8,
        load: 1,
        crashes: 2,
        engineMegabytes: 200_000,
        modelMegabytes: 66_000,
        storeLoadMilliseconds: 5_200,
        diskLoadMilliseconds: 1_000,
    },
    smallWeights: {
        engines: 8,
        urgentModels: 6,
        patientModels: 9,
        load: 1.3,
        crashes: 2,
        engineMegabytes: 83_000,
        modelMegabytes: 34_300,
        storeLoadMilliseconds: 1_200,
        diskLoadMilliseconds: 510,
    },
};
