/**
 * Takes copies off engines whose memory is not enough for what they hold.
 *
 * @module
 */
import { type PlanContext } from "./_planContext.js";
import { placeSomewhere, spareCopies } from "./_roomMaking.js";
import { planEvict, type WorkEngine, type Workspace } from "./_workspace.js";

/** Takes spare copies off engines whose memory is not enough for what they hold. */
export function shedOverfull(work: Workspace, context: PlanContext): void {
    for (const engine of work.engines) {
        const reason = "the engine's role or memory needs the room";
        for (const spare of spareCopies(work, engine, context, { isFirstCopy: true })) {
            if (engine.freeMegabytes < 0) {
                planEvict(work, engine, spare, reason);
            }
        }
        moveSinglesOff(work, engine.engine, context, reason);
    }
}

function moveSinglesOff(work: Workspace, name: string, context: PlanContext, reason: string): void {
    const find = (): WorkEngine | undefined => work.engines.find(({ engine, usable }) => usable && engine === name);
    const singles = find()?.copies.filter(copy => copy.state === "proved" && context.models.has(copy.name)) ?? [];
    for (const single of singles.sort((left, right) => left.megabytes - right.megabytes)) {
        const model = context.models.get(single.name);
        const isOverfull = (find()?.freeMegabytes ?? 0) < 0;
        if (model === undefined || !isOverfull || !placeSomewhere(work, model, context, { reason, excluded: name })) {
            continue;
        }
        const engine = find();
        if (engine !== undefined) {
            planEvict(work, engine, single, reason);
        }
    }
}
