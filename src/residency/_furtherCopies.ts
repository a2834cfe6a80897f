/**
 * Copies beyond the needed ones: in free room, and in exchange for copies that are worth less.
 *
 * @module
 */
import { isForReach, type PlanContext } from "./_planContext.js";
import { pendingMegabytes, rankEngines, spareCopies, worthOfSpare } from "./_roomMaking.js";
import {
    adoptWorkspace,
    canHost,
    cloneWorkspace,
    enginesWith,
    missingMegabytes,
    planEvict,
    planLoad,
    type Workspace,
} from "./_workspace.js";
import { type PlacementCopy, type PlacementModel, type PlannedExchange } from "./placement.js";

/** A copy replaces another only if it is worth this many times as much at a move weight of 1, beyond equality. */
const REPLACEMENT_FACTOR = 2;

interface FurtherCopy {
    readonly model: PlacementModel;
    readonly copies: number;
    readonly gain: number;
}

function rankFurtherCopies(work: Workspace, context: PlanContext): FurtherCopy[] {
    const candidates = context.ordered.flatMap(model => {
        const copies = enginesWith(work, model.name).length + 1;
        const cost = isForReach(copies) ? 0 : context.moveCost;
        const gain = context.worthOf(model.name, copies) - cost;
        return copies > 1 && gain > 0 ? [{ model, copies, gain }] : [];
    });
    return candidates.sort((left, right) =>
        right.gain / right.model.megabytes - left.gain / left.model.megabytes
        || (left.model.name < right.model.name ? -1 : 1)
    );
}

/** Fills free room with the further copies that are worth most for a megabyte. */
export function placeFurtherCopies(work: Workspace, context: PlanContext): void {
    for (;;) {
        const best = rankFurtherCopies(work, context).flatMap(further => {
            const host = rankEngines(work, further.model, context).find(engine =>
                !engine.copies.some(copy => copy.name === further.model.name)
                && missingMegabytes(engine, further.model) <= 0
            );
            return host === undefined ? [] : [{ ...further, host }];
        })[0];
        if (best === undefined) {
            return;
        }
        const reason = isForReach(best.copies)
            ? `copy ${best.copies}, for reach when engines fail`
            : `copy ${best.copies}, for missed targets`;
        planLoad(work, best.host, best.model, reason);
    }
}

/** Exchanges spare copies for one that is worth clearly more; returns what it began. */
export function beginExchange(work: Workspace, context: PlanContext): PlannedExchange | undefined {
    const factor = 1 + REPLACEMENT_FACTOR * context.moveWeight;
    for (const further of rankFurtherCopies(work, context)) {
        for (const host of rankEngines(work, further.model, context)) {
            const found = tryExchange(work, context, further, host.engine);
            const isHeld = found?.dropped.some(copy => copy.settling) === true;
            if (found !== undefined && !isHeld && further.gain > found.lost * factor) {
                adoptWorkspace(work, found.tried);
                return { name: further.model.name, engine: host.engine };
            }
        }
    }
    return undefined;
}

/**
 * Goes on with an exchange that an earlier plan began: its room is freed in steps, and must not be filled with what was
 * just dropped.
 */
export function continueExchange(
    work: Workspace,
    context: PlanContext,
    exchange: PlannedExchange | undefined,
): PlannedExchange | undefined {
    const further = rankFurtherCopies(work, context).find(({ model }) => model.name === exchange?.name);
    const found = exchange && further && tryExchange(work, context, further, exchange.engine);
    if (found === undefined) {
        return undefined;
    }
    adoptWorkspace(work, found.tried);
    return exchange;
}

interface TriedExchange {
    readonly tried: Workspace;
    readonly dropped: readonly PlacementCopy[];
    /** Worth of what was dropped. */
    readonly lost: number;
}

function tryExchange(
    work: Workspace,
    context: PlanContext,
    { model, copies }: FurtherCopy,
    name: string,
): TriedExchange | undefined {
    const tried = cloneWorkspace(work);
    const engine = tried.engines.find(candidate => candidate.engine === name);
    if (engine === undefined || !canHost(engine, model) || engine.copies.some(copy => copy.name === model.name)) {
        return undefined;
    }
    const dropped: PlacementCopy[] = [];
    let lost = 0;
    for (const spare of spareCopies(tried, engine, context, {})) {
        if (missingMegabytes(engine, model) > pendingMegabytes(engine)) {
            lost += worthOfSpare(tried, engine, spare, context);
            dropped.push(spare);
            planEvict(tried, engine, spare, `${model.name} is worth more here`);
        }
    }
    if (missingMegabytes(engine, model) > pendingMegabytes(engine)) {
        return undefined;
    }
    planLoad(tried, engine, model, `copy ${copies}, worth more than what it replaces`, true);
    return { tried, dropped, lost };
}
