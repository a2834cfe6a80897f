/**
 * Evicts copies from engines whose memory is too small for their copies, as after a change of role or memory size.
 *
 * @module
 */
import { placeCopy, spareCopies } from "./_copyPlacement.js";
import { type PlanContext } from "./_planContext.js";
import { planEvict, type WorkEngine, type Workspace } from "./_workspace.js";

/** Evicts spare copies from overfull engines; where that is not enough, moves models' only copies to other engines. */
export function evictFromOverfull(work: Workspace, context: PlanContext): void {
    for (const engine of work.engines) {
        const reason = "the engine's memory is too small for its copies and role";
        for (const spare of spareCopies(work, engine, context, { isFirstCopy: true })) {
            if (engine.freeMegabytes < 0) {
                planEvict(work, engine, spare, reason);
            }
        }
        moveOnlyCopiesOff(work, engine.engine, context, reason);
    }
}

function moveOnlyCopiesOff(work: Workspace, name: string, context: PlanContext, reason: string): void {
    const find = (): WorkEngine | undefined => work.engines.find(({ engine, usable }) => usable && engine === name);
    const onlyCopies = find()?.copies.filter(copy => copy.state === "proved" && context.models.has(copy.name)) ?? [];
    for (const copy of onlyCopies.sort((left, right) => left.megabytes - right.megabytes)) {
        const model = context.models.get(copy.name);
        const isOverfull = (find()?.freeMegabytes ?? 0) < 0;
        if (model === undefined || !isOverfull || !placeCopy(work, model, context, { reason, excluded: name })) {
            continue;
        }
        const engine = find();
        if (engine !== undefined) {
            planEvict(work, engine, copy, reason);
        }
    }
}
