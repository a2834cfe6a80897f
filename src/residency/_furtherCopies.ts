/**
 * Places copies beyond the required ones: in free memory, and in exchange for less valuable copies.
 *
 * @module
 */
import { evictionCost, megabytesBeingFreed, rankEngines, spareCopies } from "./_copyPlacement.js";
import { isForAvailability, type PlanContext } from "./_planContext.js";
import {
    adoptWorkspace,
    canLoad,
    cloneWorkspace,
    enginesWith,
    missingMegabytes,
    planEvict,
    planLoad,
    type Workspace,
} from "./_workspace.js";
import { type PlacementCopy, type PlacementModel, type PlannedExchange } from "./placement.js";

/** At a move weight of 1, a copy replaces others only if its value exceeds theirs by this multiple of theirs. */
const REPLACEMENT_FACTOR = 2;

interface FurtherCopy {
    readonly model: PlacementModel;
    readonly copies: number;
    readonly gain: number;
}

function rankFurtherCopies(work: Workspace, context: PlanContext): FurtherCopy[] {
    const candidates = context.ordered.flatMap(model => {
        const copies = enginesWith(work, model.name).length + 1;
        const cost = isForAvailability(copies) ? 0 : context.moveCost;
        const gain = context.marginalValueOf(model.name, copies) - cost;
        return copies > 1 && gain > 0 ? [{ model, copies, gain }] : [];
    });
    return candidates.sort((left, right) =>
        right.gain / right.model.megabytes - left.gain / left.model.megabytes
        || (left.model.name < right.model.name ? -1 : 1)
    );
}

/** Fills free memory with further copies, those of the highest value per megabyte first. */
export function placeFurtherCopies(work: Workspace, context: PlanContext): void {
    for (;;) {
        const best = rankFurtherCopies(work, context).flatMap(further => {
            const engine = rankEngines(work, further.model, context).find(candidate =>
                !candidate.copies.some(copy => copy.name === further.model.name)
                && missingMegabytes(candidate, further.model) <= 0
            );
            return engine === undefined ? [] : [{ ...further, engine }];
        })[0];
        if (best === undefined) {
            return;
        }
        const reason = isForAvailability(best.copies)
            ? `copy ${best.copies}, for availability when engines fail`
            : `copy ${best.copies}, against missed targets`;
        planLoad(work, best.engine, best.model, reason);
    }
}

/** Exchanges spare copies on one engine for a clearly more valuable one; returns the exchange that it begins. */
export function beginExchange(work: Workspace, context: PlanContext): PlannedExchange | undefined {
    const factor = 1 + REPLACEMENT_FACTOR * context.moveWeight;
    for (const further of rankFurtherCopies(work, context)) {
        for (const engine of rankEngines(work, further.model, context)) {
            const evaluated = evaluateExchange(work, context, further, engine.engine);
            const hasSettlingCopy = evaluated?.evicted.some(copy => copy.isSettling) === true;
            if (evaluated !== undefined && !hasSettlingCopy && further.gain > evaluated.evictedValue * factor) {
                adoptWorkspace(work, evaluated.workspace);
                return { name: further.model.name, engine: engine.engine };
            }
        }
    }
    return undefined;
}

/**
 * Continues an exchange that an earlier plan began: its memory is freed in steps, and must not be filled again with the
 * copies that were just evicted.
 */
export function continueExchange(
    work: Workspace,
    context: PlanContext,
    exchange: PlannedExchange | undefined,
): PlannedExchange | undefined {
    const further = rankFurtherCopies(work, context).find(({ model }) => model.name === exchange?.name);
    const evaluated = exchange && further && evaluateExchange(work, context, further, exchange.engine);
    if (evaluated === undefined) {
        return undefined;
    }
    adoptWorkspace(work, evaluated.workspace);
    return exchange;
}

interface EvaluatedExchange {
    readonly workspace: Workspace;
    readonly evicted: readonly PlacementCopy[];
    /** Sum of the eviction costs of the evicted copies. */
    readonly evictedValue: number;
}

function evaluateExchange(
    work: Workspace,
    context: PlanContext,
    { model, copies }: FurtherCopy,
    name: string,
): EvaluatedExchange | undefined {
    const scratch = cloneWorkspace(work);
    const engine = scratch.engines.find(candidate => candidate.engine === name);
    if (engine === undefined || !canLoad(engine, model) || engine.copies.some(copy => copy.name === model.name)) {
        return undefined;
    }
    const evicted: PlacementCopy[] = [];
    let evictedValue = 0;
    for (const spare of spareCopies(scratch, engine, context, {})) {
        if (missingMegabytes(engine, model) > megabytesBeingFreed(engine)) {
            evictedValue += evictionCost(scratch, engine, spare, context);
            evicted.push(spare);
            planEvict(scratch, engine, spare, `${model.name} is more valuable on this engine`);
        }
    }
    if (missingMegabytes(engine, model) > megabytesBeingFreed(engine)) {
        return undefined;
    }
    planLoad(scratch, engine, model, `copy ${copies}, more valuable than the copies that it replaces`, true);
    return { workspace: scratch, evicted, evictedValue };
}
