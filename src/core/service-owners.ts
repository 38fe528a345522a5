/**
Region that owns each service while it moves between data centres.
Deterministic part of the configuration fold: all readers compute the same owners.
*/
import {
	type ConfigMove, type ConfigSection, type SectionValues, type ServiceOwner,
} from '../types/config.ts';
import {
	getServiceSection, parseSectionName, SectionKind, splitList,
} from './config-text.ts';

type Sections = ReadonlyMap<string, ConfigSection>;

/** Owning region of each service. */
export class ServiceOwners {
	readonly #owners = new Map<string, ServiceOwner>();

	get(service: string): ServiceOwner | undefined {
		return this.#owners.get(service);
	}

	list(): ServiceOwner[] {
		return [...this.#owners.values()];
	}

	restore(owners: Iterable<ServiceOwner>): void {
		this.#owners.clear();
		for (const owner of owners) {
			this.#owners.set(owner.service, owner);
		}
	}

	/**
	Applies an accepted change of a section. The first region declared for a service owns it at once; when the declared region
	changes later, the owner stays until a move record is applied.
	*/
	applySectionChange(section: string, values: SectionValues | undefined, offset: number): void {
		const parsed = parseSectionName(section);
		if (parsed?.kind !== SectionKind.Service) {
			return;
		}

		const region = values?.region;
		if (region === undefined) {
			this.#owners.delete(parsed.name);
		} else if (!this.#owners.has(parsed.name)) {
			this.#owners.set(parsed.name, {service: parsed.name, region, offset});
		}
	}

	/** Applies a move record; returns false if another move came first or the record no longer matches the declared region. */
	applyMove(move: ConfigMove, offset: number, sections: Sections): boolean {
		if (findMoveObstacle(move, this, sections) !== undefined) {
			return false;
		}

		this.#owners.set(move.service, {
			service: move.service, region: move.region, previousRegion: this.#owners.get(move.service)?.region, offset,
		});
		return true;
	}
}

/** Gets the reason why a move record cannot be applied, or undefined if it can. */
export const findMoveObstacle = (
	move: Pick<ConfigMove, 'service' | 'region' | 'baseOffset'>,
	owners: Pick<ServiceOwners, 'get'>,
	sections: Sections,
): string | undefined => {
	const values = sections.get(getServiceSection(move.service))?.values;
	if (values?.region !== move.region) {
		return 'the text no longer declares this region';
	}

	// An entry that was paused may append a move based on an owner that has since been replaced; it must not take effect.
	if (owners.get(move.service)?.offset !== move.baseOffset) {
		return 'another move came first';
	}

	const missing = splitList(values.dependsOn).find(dependency => {
		const declared = sections.get(getServiceSection(dependency))?.values?.region;
		return declared !== undefined && owners.get(dependency)?.region !== declared;
	});
	return missing === undefined ? undefined : `${missing} has to move first`;
};
