/**
 * Sites for plays of placement: engines, models, kinds of requests, and days on which demand moves and engines crash.
 *
 * @module
 */
import { type RandomSource } from "../../src/decision/index.js";
import { type EngineDefinition } from "../../src/routes/index.js";

/** One kind of request. */
export interface PlayedKind {
    readonly name: string;
    readonly perSecond: number;
    readonly promptTokens: number;
    /** Mean. */
    readonly outputTokens: number;
    /** A first token is in time within this. */
    readonly aimMilliseconds: number;
    readonly deadlineMilliseconds: number;
    readonly worth: number;
    readonly lateWorth: number;
    /** How often callers come again after a refusal. */
    readonly retries: number;
}

/** What happens on one day. */
export interface PlayedDay {
    readonly lengthMilliseconds: number;
    /** Gives each model's share of a kind's requests at a time. */
    readonly shares: (atMilliseconds: number) => (kind: PlayedKind) => ReadonlyMap<string, number>;
    readonly crashes: readonly { readonly at: number; readonly engine: number; readonly lasts: number; }[];
}

/** A site as it is played. */
export interface PlayedSite {
    readonly definition: EngineDefinition;
    readonly kinds: readonly PlayedKind[];
    /** Copies of weights that an engine keeps in its memory and on its disk. */
    readonly inMemory: number;
    readonly onDisk: number;
    readonly memoryLoadMilliseconds: number;
    readonly diskLoadMilliseconds: number;
    readonly promptTokensPerMillisecond: number;
    readonly stepMilliseconds: number;
    /** Models of each engine at the start. */
    readonly start: (random: RandomSource) => readonly (readonly string[])[];
    readonly draw: (random: RandomSource) => PlayedDay;
}

/** What a site is drawn from. */
export interface PlayedSiteOptions {
    readonly engines: number;
    readonly urgentModels: number;
    readonly patientModels: number;
    /** Multiplies the rates of all kinds. */
    readonly load: number;
    /** Engines that crash on a day. */
    readonly crashes: number;
    readonly engineMegabytes: number;
    readonly modelMegabytes: number;
    readonly storeLoadMilliseconds: number;
    readonly diskLoadMilliseconds: number;
}

const LENGTH_MILLISECONDS = 40_000;

/** Shares of the models that urgent callers ask for at one time. */
const URGENT_SHARES = [0.6, 0.22, 0.18];

/** Demand moves from one model to another within this time. */
const SHIFT_MILLISECONDS = 5_000;

const SHIFTS_AT_MILLISECONDS = [1_000, 14_000, 24_000];

interface Shift {
    readonly at: number;
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
    return SHIFTS_AT_MILLISECONDS.map(at => {
        const resting = models.filter(model => !active.includes(model));
        const position = Math.floor(random() * active.length);
        const to = resting[Math.floor(random() * resting.length)] ?? "";
        const from = active[position] ?? "";
        active[position] = to;
        return { at, from, to, share: URGENT_SHARES[position] ?? 0 };
    });
}

function sharesAt(at: number, start: readonly string[], shifts: readonly Shift[]): Map<string, number> {
    const shares = new Map(start.map((model, index) => [model, URGENT_SHARES[index] ?? 0]));
    for (const shift of shifts) {
        const moved = shift.share * Math.min(1, Math.max(0, (at - shift.at) / SHIFT_MILLISECONDS));
        shares.set(shift.from, (shares.get(shift.from) ?? 0) - moved);
        shares.set(shift.to, (shares.get(shift.to) ?? 0) + moved);
    }
    return shares;
}

/**
 * Makes a site with more models than its engines hold at once.
 *
 * @param options Its size and load.
 *
 * @example
 * ```ts
 * const site = createPlayedSite({ engines: 6, urgentModels: 6, patientModels: 8, load: 1, crashes: 2 });
 * ```
 */
export function createPlayedSite(options: PlayedSiteOptions): PlayedSite {
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
        start: random => startingPlacement(options.engines, urgent, patient, random),
        draw: random => drawDay(options, urgent, patient, random),
    };
}

function createKinds(load: number): PlayedKind[] {
    const shared = { retries: 1, aimMilliseconds: 300 };
    return [
        {
            ...shared,
            name: "long",
            perSecond: 66 * load,
            promptTokens: 714,
            outputTokens: 280,
            deadlineMilliseconds: 15_000,
            worth: 2.2,
            lateWorth: 1.1,
        },
        {
            ...shared,
            name: "short",
            perSecond: 56 * load,
            promptTokens: 383,
            outputTokens: 45,
            deadlineMilliseconds: 4_000,
            worth: 1.1,
            lateWorth: 0.55,
        },
        {
            ...shared,
            name: "patient",
            perSecond: 7 * load,
            promptTokens: 714,
            outputTokens: 280,
            aimMilliseconds: 4_000,
            deadlineMilliseconds: 25_000,
            worth: 1.1,
            lateWorth: 0.54,
        },
    ];
}

/** Busy models on many engines, one copy each of others, as far as there is room. */
function startingPlacement(
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
        const room = order.find(models => models.length < 2);
        room?.push(model);
    }
    return placement;
}

function drawDay(
    { crashes, engines }: PlayedSiteOptions,
    urgent: readonly string[],
    patient: readonly string[],
    random: RandomSource,
): PlayedDay {
    const start = urgent.slice(0, URGENT_SHARES.length);
    const shifts = drawShifts(urgent, [...start], random);
    const even = new Map(patient.map(model => [model, 1 / patient.length]));
    return {
        lengthMilliseconds: LENGTH_MILLISECONDS,
        shares: at => {
            const urgentShares = sharesAt(at, start, shifts);
            return kind => kind.name === "patient" ? even : urgentShares;
        },
        crashes: Array.from({ length: crashes }, () => ({
            at: 10 * Math.floor(200 + random() * 2_800),
            engine: Math.floor(random() * engines),
            lasts: 2_500,
        })),
    };
}

/** Sites that the measurements and tests play. */
export const SITES: Readonly<Record<"largeWeights" | "smallWeights", PlayedSiteOptions>> = {
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
